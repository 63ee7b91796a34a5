package org.sardinebay.internal.version;

/** The reason for promoting a new primary. */
public enum PromotionCause {
  /** A majority of the failure domains reports that the primary doesn't reply. */
  PRIMARY_SILENT,
  /** The primary is shutting down. */
  PRIMARY_LEAVING,
  /** The primary replies, but its entries don't reach a majority of the members. */
  PRIMARY_CUT_OFF,
  /**
   * The known primary replies, but is no longer the primary of its term, because it was restarted
   * or fenced.
   */
  PRIMARY_DEPOSED,
  /** A member knows a newer term that has no primary. */
  TERM_ABANDONED,
  /** No member is primary or knows one, for example at the first start. */
  NO_PRIMARY
}
