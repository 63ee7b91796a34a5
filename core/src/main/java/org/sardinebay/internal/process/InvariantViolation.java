package org.sardinebay.internal.process;

import org.sardinebay.DatabaseId;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.platform.ObjectKey;

/** Something that must never be seen, and was. */
public sealed interface InvariantViolation {
  /**
   * Two drivers claimed one term.
   *
   * @param database the database
   * @param term the term
   * @param first the driver known first
   * @param second the other one
   */
  record TermClaimedTwice(DatabaseId database, long term, String first, String second)
      implements InvariantViolation {}

  /**
   * Two members lead one term.
   *
   * @param database the database
   * @param term the term
   * @param first the primary known first
   * @param second the other one
   */
  record TwoPrimaries(DatabaseId database, long term, MemberId first, MemberId second)
      implements InvariantViolation {}

  /**
   * A term starts below an entry that a majority had confirmed.
   *
   * @param database the database
   * @param start the position that opens the term
   * @param confirmed the confirmed position
   */
  record ConfirmedEntryLost(DatabaseId database, Position start, Position confirmed)
      implements InvariantViolation {}

  /**
   * An applied generation went down.
   *
   * @param record the record
   * @param before the generation that was applied
   * @param after the lower one
   */
  record GenerationFell(ObjectKey record, long before, long after) implements InvariantViolation {}
}
