package org.sardinebay.internal.version;

/** How far a promotion has come, as the platform holds it. */
public enum PromotionStep {
  /** The term is claimed; members are being fenced. */
  FENCING,
  /** A member was chosen and is being promoted. */
  PROMOTING,
  /** The term's primary is known. */
  PUBLISHED
}
