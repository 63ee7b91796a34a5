package org.sardinebay.internal.version;

/** How a promotion ended. */
public sealed interface PromotionOutcome {
  /**
   * This driver's primary is published.
   *
   * @param record the state on the platform
   */
  record Published(PromotionRecord record) implements PromotionOutcome {}

  /**
   * Another driver published a newer term.
   *
   * @param record the state on the platform
   */
  record Superseded(PromotionRecord record) implements PromotionOutcome {}

  /**
   * The promotion came to nothing; another attempt may follow.
   *
   * @param reason why
   * @param highestTerm the highest term met
   */
  record Failed(PromotionFailure reason, long highestTerm) implements PromotionOutcome {}
}
