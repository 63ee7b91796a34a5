package org.sardinebay.ctl.internal.request;

import java.util.List;

/** What reading a record file came to. */
sealed interface RecordFileResult {
  /**
   * All records are valid.
   *
   * @param drafts the records, in the file's order
   */
  record Valid(List<RecordDraft> drafts) implements RecordFileResult {}

  /**
   * The file or one of its records is wrong.
   *
   * @param failure what is wrong
   */
  record Invalid(Failure failure) implements RecordFileResult {}
}
