package org.sardinebay.internal.version;

import org.sardinebay.Position;

/** Acknowledges a write once its entry is confirmed by a majority of the members. */
final class MajorityAck implements AckPolicy {
  @Override
  public boolean acknowledges(DatabaseView view, Position position) {
    return view.durable(position);
  }
}
