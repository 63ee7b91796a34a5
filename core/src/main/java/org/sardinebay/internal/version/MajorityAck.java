package org.sardinebay.internal.version;

import org.sardinebay.Position;

/** Acknowledges a write once a majority of members has stored the entry in the current term. */
final class MajorityAck implements AckPolicy {
  @Override
  public boolean acknowledges(DatabaseView view, Position position) {
    return view.durable(position);
  }
}
