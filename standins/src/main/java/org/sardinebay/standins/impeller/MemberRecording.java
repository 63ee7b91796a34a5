package org.sardinebay.standins.impeller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Records on whose behalf a member's connections were started, and which statements ran on them.
 * Only the latest entries are kept. Thread-safe.
 */
final class MemberRecording {
  private static final int MAX_ENTRIES = 100_000;

  private final Deque<String> starts = new ArrayDeque<>();
  private final Deque<RanStatement> statements = new ArrayDeque<>();

  /**
   * A statement that a member ran.
   *
   * @param startedFor the second word of the connection's START: a workspace or a host
   * @param requestId the id of the request, "-" for statements of the gateway itself
   * @param text the text of the statement
   */
  record RanStatement(String startedFor, String requestId, String text) {}

  synchronized void onStart(String startedFor) {
    append(starts, startedFor);
  }

  synchronized void onStatement(String startedFor, String requestId, String text) {
    append(statements, new RanStatement(startedFor, requestId, text));
  }

  private static <T> void append(Deque<T> entries, T entry) {
    if (entries.size() == MAX_ENTRIES) {
      entries.removeFirst();
    }
    entries.addLast(entry);
  }

  /** The second word of START of each connection, in order. */
  synchronized List<String> starts() {
    return List.copyOf(starts);
  }

  /** The statements in the order in which they ran. */
  synchronized List<RanStatement> statements() {
    return List.copyOf(statements);
  }
}
