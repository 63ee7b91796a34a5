package org.sardinebay.internal.process;

/**
 * Hears of violated invariants.
 *
 * <pre>{@code
 * invariants.check(position.index() >= least.index(), InvariantName.READ_SHOWS_SESSION, detail);
 * }</pre>
 */
@FunctionalInterface
public interface Invariants {
  /**
   * Takes in a violation.
   *
   * @param name which invariant
   * @param detail what was seen
   */
  void violated(InvariantName name, String detail);

  /**
   * Reports a violation if a condition does not hold.
   *
   * @param holds the condition
   * @param name which invariant
   * @param detail what was seen
   */
  default void check(boolean holds, InvariantName name, String detail) {
    if (!holds) {
      violated(name, detail);
    }
  }
}
