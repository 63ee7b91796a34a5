package org.sardinebay.internal.version;

/** Why a promotion came to nothing. */
public enum PromotionFailure {
  /** The platform did not take or confirm the claim of a term. */
  PLATFORM_UNAVAILABLE,
  /** The platform holds something that can't be read. */
  RECORD_UNREADABLE,
  /** Too few members could be fenced in time. */
  NO_MAJORITY,
  /** Members have seen a newer term, or this one from another driver. */
  OUTBID,
  /** The chosen member stopped answering; it may lead the term all the same. */
  CANDIDATE_LOST
}
