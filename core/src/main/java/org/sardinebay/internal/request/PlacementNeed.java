package org.sardinebay.internal.request;

import java.util.Optional;
import org.sardinebay.Position;

/**
 * What a statement needs of the member that runs it.
 *
 * @param primaryOnly whether only the primary may run it
 * @param least the position that the member's log must hold, if any
 */
public record PlacementNeed(boolean primaryOnly, Optional<Position> least) {
  /** A statement for the primary. */
  public static final PlacementNeed PRIMARY = new PlacementNeed(true, Optional.empty());
}
