package org.sardinebay.internal.version;

import org.sardinebay.Position;

/**
 * Acknowledges a write as soon as the primary has executed it. If the primary fails, acknowledged
 * writes that were not replicated yet are lost.
 */
final class PrimaryOnlyAck implements AckPolicy {
  @Override
  public boolean acknowledges(DatabaseView view, Position position) {
    return !view.dropped(position);
  }
}
