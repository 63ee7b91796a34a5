package org.sardinebay.internal.version;

/** The progress of a promotion, as stored on the platform. */
public enum PromotionStep {
  /** The term is claimed; members are being fenced. */
  FENCING,
  /** A member was selected and is being promoted. */
  PROMOTING,
  /** The primary of the term is published. */
  PUBLISHED
}
