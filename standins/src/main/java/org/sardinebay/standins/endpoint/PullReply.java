package org.sardinebay.standins.endpoint;

import java.util.List;

/** A primary's reply to a {@link PullRequest}. */
sealed interface PullReply {
  /**
   * The replica's log is a prefix of the primary's.
   *
   * @param entries what comes behind it, perhaps nothing yet
   */
  record Entries(List<LogEntry> entries) implements PullReply {}

  /**
   * The primary does not have the replica's last entry.
   *
   * @param outline what the primary has
   */
  record Diverged(LogOutline outline) implements PullReply {}

  /** The member does not lead the term named. */
  record Declined() implements PullReply {}
}
