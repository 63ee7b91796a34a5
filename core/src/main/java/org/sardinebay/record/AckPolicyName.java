package org.sardinebay.record;

/** The policy that decides when a write is acknowledged. */
public enum AckPolicyName {
  /**
   * Once a majority of the members has confirmed the write: no acknowledged write is lost when the
   * primary fails.
   */
  MAJORITY,
  /** Once the primary and one other member have confirmed the write. */
  ONE_REPLICA,
  /**
   * Once the primary has run the write: writes that are not replicated yet are lost when the
   * primary fails.
   */
  PRIMARY_ONLY
}
