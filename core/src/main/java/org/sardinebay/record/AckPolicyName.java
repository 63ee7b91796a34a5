package org.sardinebay.record;

/** When a write is acknowledged. */
public enum AckPolicyName {
  /** When a majority of members confirmed it: loses nothing when the primary dies. */
  MAJORITY,
  /** When the primary and one other member confirmed it. */
  ONE_REPLICA,
  /** When the primary ran it: loses the unreplicated tail when the primary dies. */
  PRIMARY_ONLY
}
