package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Position;
import org.sardinebay.endpoint.IdempotencyKey;

/**
 * One entry of a member's log.
 *
 * @param position its term and index
 * @param effects what it changes; none for the entry that opens a term and for tombstones
 * @param key the idempotency key that it settles
 * @param rows what the request returned, for replays
 * @param tombstone whether it makes its key void
 */
record LogEntry(
    Position position,
    List<Effect> effects,
    Optional<IdempotencyKey> key,
    List<String> rows,
    boolean tombstone) {

  /** The entry that opens a term. */
  static LogEntry opening(Position position) {
    return new LogEntry(position, List.of(), Optional.empty(), List.of(), false);
  }
}
