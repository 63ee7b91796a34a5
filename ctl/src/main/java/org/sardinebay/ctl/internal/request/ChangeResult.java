package org.sardinebay.ctl.internal.request;

/** What a conditional change of a record came to. */
sealed interface ChangeResult {
  /**
   * The change is in force.
   *
   * @param version the record's new version; for a deletion, the version that was deleted
   */
  record Done(long version) implements ChangeResult {}

  /**
   * The change is not in force.
   *
   * @param failure why
   */
  record NotDone(Failure failure) implements ChangeResult {}
}
