package org.sardinebay.ctl.internal.request;

import java.util.List;

/** The result of reading a record file. */
sealed interface RecordFileResult {
  /**
   * All records are valid.
   *
   * @param drafts the records, in the file's order
   */
  record Valid(List<RecordDraft> drafts) implements RecordFileResult {}

  /**
   * The file or one of its records is invalid.
   *
   * @param failure the reason
   */
  record Invalid(Failure failure) implements RecordFileResult {}
}
