package org.sardinebay.standins.endpoint;

import java.util.List;

/** The reply of a primary to a {@link PullRequest}. */
sealed interface PullReply {
  /**
   * The log of the replica is a prefix of the primary's log.
   *
   * @param entries the next entries; may be empty
   */
  record Entries(List<LogEntry> entries) implements PullReply {}

  /**
   * The primary does not have the last entry of the replica.
   *
   * @param outline the positions in the primary's log
   */
  record Diverged(LogOutline outline) implements PullReply {}

  /** The member is not the primary of the requested term. */
  record Declined() implements PullReply {}
}
