package org.sardinebay.standins.endpoint;

import java.util.Optional;
import org.sardinebay.MemberId;

/** What a member keeps across a restart. */
sealed interface JournalRecord {
  /**
   * The member has seen a term.
   *
   * @param term the term
   * @param owner who fenced it; empty if it came to the term by following
   * @param primary the term's primary, once known
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
   * All entries behind an index were dropped.
   *
   * @param index the last index kept
   */
  record Truncated(long index) implements JournalRecord {}
}
