package org.sardinebay.internal.version;

import java.util.List;
import java.util.function.Predicate;
import org.sardinebay.HostId;
import org.sardinebay.record.DatabaseRecord;

/**
 * The part of one controller in the watch over one database.
 *
 * @param database the database
 * @param rank the place of its failure domain among those that hold members; watchers act in this
 *     order
 * @param predecessors the controllers of its failure domain that come before it
 * @param otherWatchers the controllers of other failure domains to ask about the primary
 */
public record WatchDuty(
    DatabaseRecord database,
    int rank,
    List<ControllerInfo> predecessors,
    List<ControllerInfo> otherWatchers) {
  /**
   * Whether this controller has to watch now.
   *
   * @param silent which hosts do not answer
   * @return true if all controllers before it are silent
   */
  public boolean active(Predicate<HostId> silent) {
    return predecessors.stream().allMatch(other -> silent.test(other.host()));
  }
}
