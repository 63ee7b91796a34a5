package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Position;

/**
 * The log of a member. Indexes are consecutive and start at 1, terms never decrease, and each
 * idempotency key has at most one entry.
 *
 * <p>{@link #append} throws {@link IllegalStateException} if an entry breaks these rules or differs
 * from a truncated entry with the same term and index.
 */
final class MemberLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<Position> termStarts = new ArrayList<>();
  private final Map<String, LogEntry> entriesByKey = new HashMap<>();
  private final Map<Position, LogEntry> truncated = new HashMap<>();

  Position last() {
    return entries.isEmpty() ? Position.ZERO : entries.get(entries.size() - 1).position();
  }

  LogEntry entry(long index) {
    return entries.get(Math.toIntExact(index - 1));
  }

  /** Returns whether the log contains the entry at a position. */
  boolean contains(Position position) {
    if (position.index() == 0) {
      return true;
    }
    return position.index() <= entries.size()
        && entry(position.index()).position().equals(position);
  }

  /** Returns whether the log continues in a newer term without the entry at a position. */
  boolean excludes(Position position) {
    return !contains(position) && last().term() > position.term();
  }

  Optional<LogEntry> entryForKey(String key) {
    return Optional.ofNullable(entriesByKey.get(key));
  }

  int settledKeys() {
    return entriesByKey.size();
  }

  int droppedEntries() {
    return truncated.size();
  }

  /** Returns the entries after an index, at most {@code limit} of them. */
  List<LogEntry> after(long index, int limit) {
    int from = Math.toIntExact(index);
    return List.copyOf(entries.subList(from, Math.min(entries.size(), from + limit)));
  }

  LogOutline outline() {
    return new LogOutline(List.copyOf(termStarts), last());
  }

  void append(LogEntry entry) {
    Position position = entry.position();
    check(position.index() == last().index() + 1, "entry does not follow the last one", position);
    check(position.term() >= last().term(), "term decreases", position);
    LogEntry previous = truncated.getOrDefault(position, entry);
    check(previous.equals(entry), "two entries with the same term and index", position);
    entry
        .key()
        .ifPresent(
            key ->
                check(
                    entriesByKey.putIfAbsent(key.value(), entry) == null,
                    "key already has an entry",
                    position));
    if (position.term() > last().term()) {
      termStarts.add(position);
    }
    entries.add(entry);
  }

  void truncateAfter(long index) {
    while (entries.size() > index) {
      LogEntry entry = entries.remove(entries.size() - 1);
      truncated.put(entry.position(), entry);
      entry.key().ifPresent(key -> entriesByKey.remove(key.value()));
    }
    termStarts.removeIf(start -> start.index() > index);
  }

  private static void check(boolean holds, String violation, Position position) {
    if (!holds) {
      throw new IllegalStateException(violation + ": " + position);
    }
  }
}
