package org.sardinebay.internal.version;

/** The reason why a promotion failed. */
public enum PromotionFailure {
  /** The platform didn't accept or confirm the claim of a term. */
  PLATFORM_UNAVAILABLE,
  /** The promotion record on the platform can't be decoded. */
  RECORD_UNREADABLE,
  /** No majority of the members could be fenced in time. */
  NO_MAJORITY,
  /** Members know a newer term, or the same term from another driver. */
  OUTBID,
  /** The selected member stopped replying; it may have become primary nevertheless. */
  CANDIDATE_LOST
}
