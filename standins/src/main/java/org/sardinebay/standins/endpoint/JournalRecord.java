package org.sardinebay.standins.endpoint;

import java.util.Optional;
import org.sardinebay.MemberId;

/** A record from which a member restores its state after a restart. */
sealed interface JournalRecord {
  /**
   * The member entered a term, or learned more about its current one.
   *
   * @param term the term
   * @param owner the owner that fenced the member; empty if the member entered by following
   * @param primary the primary of the term, once known
   */
  record TermEntered(long term, String owner, Optional<MemberId> primary)
      implements JournalRecord {}

  /**
   * An entry was appended.
   *
   * @param entry the entry
   */
  record Appended(LogEntry entry) implements JournalRecord {}

  /**
   * The log was truncated.
   *
   * @param index the index of the last remaining entry
   */
  record Truncated(long index) implements JournalRecord {}
}
