package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Position;

/**
 * A member's log: entries numbered from 1 whose terms never decrease, with the idempotency keys
 * that they settle.
 *
 * <p>Throws {@link IllegalStateException} when an index would get two entries in one term, or a key
 * two entries.
 */
final class MemberLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<Position> history = new ArrayList<>();
  private final Map<String, LogEntry> byKey = new HashMap<>();
  private final Map<Position, LogEntry> dropped = new HashMap<>();

  Position last() {
    return entries.isEmpty() ? Position.ZERO : entries.get(entries.size() - 1).position();
  }

  LogEntry entry(long index) {
    return entries.get(Math.toIntExact(index - 1));
  }

  /** Whether the log holds the entry that a position names. */
  boolean contains(Position position) {
    if (position.index() == 0) {
      return true;
    }
    return position.index() <= entries.size()
        && entry(position.index()).position().equals(position);
  }

  /** Whether the log went on in a newer term without the entry that a position names. */
  boolean excludes(Position position) {
    return !contains(position) && last().term() > position.term();
  }

  Optional<LogEntry> settled(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  int settledKeys() {
    return byKey.size();
  }

  int droppedEntries() {
    return dropped.size();
  }

  /** The entries behind an index, at most {@code limit} of them. */
  List<LogEntry> after(long index, int limit) {
    int from = Math.toIntExact(index);
    return List.copyOf(entries.subList(from, Math.min(entries.size(), from + limit)));
  }

  LogOutline outline() {
    return new LogOutline(List.copyOf(history), last());
  }

  void append(LogEntry entry) {
    Position position = entry.position();
    check(position.index() == last().index() + 1, "entry does not follow the last", position);
    check(position.term() >= last().term(), "term decreases", position);
    LogEntry earlier = dropped.getOrDefault(position, entry);
    check(earlier.equals(entry), "two entries at one index of one term", position);
    entry
        .key()
        .ifPresent(
            key ->
                check(
                    byKey.putIfAbsent(key.value(), entry) == null,
                    "key has an entry already",
                    position));
    if (position.term() > last().term()) {
      history.add(position);
    }
    entries.add(entry);
  }

  void truncateAfter(long index) {
    while (entries.size() > index) {
      LogEntry entry = entries.remove(entries.size() - 1);
      dropped.put(entry.position(), entry);
      entry.key().ifPresent(key -> byKey.remove(key.value()));
    }
    history.removeIf(start -> start.index() > index);
  }

  private static void check(boolean holds, String violation, Position position) {
    if (!holds) {
      throw new IllegalStateException(violation + ": " + position);
    }
  }
}
