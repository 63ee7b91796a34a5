package org.sardinebay.internal.version;

import org.sardinebay.Position;

/** Waits until a majority of members keeps the entry in the current term. */
final class MajorityAck implements AckPolicy {
  @Override
  public boolean acknowledges(DatabaseView view, Position position) {
    return view.durable(position);
  }
}
