package org.sardinebay.standins.impeller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
   * @param transaction the id of the BEGIN that the statement follows, empty outside a transaction
   * @param values the session values that the statement ran with
   * @param shape the prepared shape that an EXEC ran, if there is one of its name
   * @param answer the answer to the statement
   */
  record RanStatement(
      String startedFor,
      String requestId,
      String text,
      Optional<String> transaction,
      Map<String, String> values,
      Optional<String> shape,
      LineAnswer answer) {}

  synchronized void onStart(String startedFor) {
    append(starts, startedFor);
  }

  synchronized void onStatement(RanStatement statement) {
    append(statements, statement);
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

  /** The statements of one request in the order in which they ran. */
  synchronized List<RanStatement> statements(String requestId) {
    return statements.stream().filter(ran -> ran.requestId().equals(requestId)).toList();
  }
}
