package org.sardinebay.ctl.internal.request;

/** The result of a conditional change of a record. */
sealed interface ChangeResult {
  /**
   * The change was applied.
   *
   * @param version the record's new version; for a deletion, the version that was deleted
   */
  record Applied(long version) implements ChangeResult {}

  /**
   * The change was not applied, or its outcome is unknown.
   *
   * @param failure the reason
   */
  record NotApplied(Failure failure) implements ChangeResult {}
}
