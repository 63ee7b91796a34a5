package org.sardinebay.internal.version;

import org.sardinebay.Position;

/** Acknowledges a write once one member besides the primary has stored the entry. */
final class OneReplicaAck implements AckPolicy {
  private static final int PRIMARY_AND_ONE = 2;

  @Override
  public boolean acknowledges(DatabaseView view, Position position) {
    return view.holders(position.index()) >= PRIMARY_AND_ONE && !view.dropped(position);
  }
}
