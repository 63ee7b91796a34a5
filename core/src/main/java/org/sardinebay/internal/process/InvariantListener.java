package org.sardinebay.internal.process;

/** Is told of violated invariants. */
@FunctionalInterface
public interface InvariantListener {
  /**
   * Takes one violation.
   *
   * @param violation what was seen
   */
  void violated(InvariantViolation violation);
}
