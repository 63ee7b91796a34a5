package org.sardinebay.record;

import java.util.List;

/**
 * The result of reading a record.
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
   * The record has invalid fields.
   *
   * @param problems the problems, at least one
   * @param <R> the record's type
   */
  record Invalid<R>(List<FieldProblem> problems) implements RecordResult<R> {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }
}
