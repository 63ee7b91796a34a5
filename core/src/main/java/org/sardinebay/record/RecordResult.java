package org.sardinebay.record;

import java.util.List;

/**
 * What reading a record came to.
 *
 * @param <R> the record's type
 */
public sealed interface RecordResult<R> {
  /**
   * The record is valid.
   *
   * @param value the record
   * @param <R> the record's type
   */
  record Valid<R>(R value) implements RecordResult<R> {}

  /**
   * The record has wrong fields.
   *
   * @param problems one entry for each, at least one
   * @param <R> the record's type
   */
  record Invalid<R>(List<FieldProblem> problems) implements RecordResult<R> {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }
}
