package org.sardinebay.internal.request;

import java.util.Optional;
import org.sardinebay.Position;

/**
 * The requirements of a statement on the member that runs it.
 *
 * @param primaryOnly whether only the primary may run it
 * @param minimumPosition the position that the member's log must contain, if any
 */
public record PlacementRequirement(boolean primaryOnly, Optional<Position> minimumPosition) {
  /** The requirements of a statement that only the primary may run. */
  public static final PlacementRequirement PRIMARY =
      new PlacementRequirement(true, Optional.empty());
}
