package org.sardinebay.internal.version;

/** The outcome of a promotion. */
public sealed interface PromotionOutcome {
  /**
   * The primary promoted in this term is published.
   *
   * @param record the record on the platform
   */
  record Published(PromotionRecord record) implements PromotionOutcome {}

  /**
   * Another driver published a newer term.
   *
   * @param record the record on the platform
   */
  record Superseded(PromotionRecord record) implements PromotionOutcome {}

  /**
   * The promotion failed; another attempt may follow.
   *
   * @param reason the reason
   * @param highestTerm the highest term observed
   */
  record Failed(PromotionFailure reason, long highestTerm) implements PromotionOutcome {}
}
