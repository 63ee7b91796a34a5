package org.sardinebay.internal.version;

import java.util.List;
import java.util.function.Predicate;
import org.sardinebay.HostId;
import org.sardinebay.record.DatabaseRecord;

/**
 * The assignment of one controller to the watch of one database.
 *
 * @param database the database
 * @param rank the rank of its failure domain among those that contain members; watchers act in the
 *     order of their ranks
 * @param predecessors the controllers of its failure domain with a higher priority
 * @param otherWatchers the controllers of other failure domains to query about the primary
 */
public record WatchAssignment(
    DatabaseRecord database,
    int rank,
    List<ControllerInfo> predecessors,
    List<ControllerInfo> otherWatchers) {
  /**
   * Returns whether this controller has to watch the database now.
   *
   * @param silent whether a host doesn't reply
   * @return true if no predecessor replies
   */
  public boolean active(Predicate<HostId> silent) {
    return predecessors.stream().allMatch(other -> silent.test(other.host()));
  }
}
