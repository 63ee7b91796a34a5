package org.sardinebay.internal.version;

import org.sardinebay.Position;

/** Acknowledges as soon as the primary ran the write; a dead primary's tail is lost. */
final class PrimaryOnlyAck implements AckPolicy {
  @Override
  public boolean acknowledges(DatabaseView view, Position position) {
    return !view.dropped(position);
  }
}
