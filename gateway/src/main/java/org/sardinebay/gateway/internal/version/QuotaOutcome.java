package org.sardinebay.gateway.internal.version;

/** Whether an operation may run by the quota of its workspace. */
public sealed interface QuotaOutcome {
  /** The operation may run now. */
  record Permitted() implements QuotaOutcome {}

  /**
   * The operation may not run.
   *
   * @param retryAfterMillis when the caller should retry, in milliseconds
   */
  record Refused(long retryAfterMillis) implements QuotaOutcome {}
}
