package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Position;
import org.sardinebay.endpoint.IdempotencyKey;

/**
 * An entry of a member's log.
 *
 * @param position the term and index of the entry
 * @param effects the changes; empty for the no-op entry that starts a term and for tombstones
 * @param key the idempotency key whose outcome the entry records
 * @param rows the rows that the request returned, repeated for a retry with the same key
 * @param tombstone whether the entry revokes its key
 */
record LogEntry(
    Position position,
    List<Effect> effects,
    Optional<IdempotencyKey> key,
    List<String> rows,
    boolean tombstone) {

  /** Returns the no-op entry that starts a term. */
  static LogEntry noOp(Position position) {
    return new LogEntry(position, List.of(), Optional.empty(), List.of(), false);
  }
}
