package org.sardinebay.internal.version;

/** Why a primary is promoted. */
public enum PromotionCause {
  /** A majority of the failure domains finds the primary silent. */
  PRIMARY_SILENT,
  /** The primary is closing down. */
  PRIMARY_LEAVING,
  /** The primary is there, but its entries reach no majority of the members. */
  PRIMARY_CUT_OFF,
  /** The former primary answers, but leads its term no more: it was restarted or fenced. */
  PRIMARY_DEPOSED,
  /** Some member has seen a newer term that nobody leads. */
  TERM_ABANDONED,
  /** No member leads or knows a primary, as at the first start. */
  NO_PRIMARY
}
