package org.sardinebay.internal.process;

/**
 * Receives reports of violated invariants.
 *
 * <pre>{@code
 * boolean shown = position.index() >= minimumPosition.index();
 * invariantReporter.check(shown, InvariantName.READ_SHOWS_SESSION, detail);
 * }</pre>
 */
@FunctionalInterface
public interface InvariantReporter {
  /**
   * Reports a violation.
   *
   * @param name the invariant
   * @param detail what was observed
   */
  void violated(InvariantName name, String detail);

  /**
   * Reports a violation if a condition does not hold.
   *
   * @param holds the condition
   * @param name the invariant
   * @param detail what was observed
   */
  default void check(boolean holds, InvariantName name, String detail) {
    if (!holds) {
      violated(name, detail);
    }
  }
}
