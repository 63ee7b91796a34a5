package org.sardinebay.ctl.internal.request;

import java.util.Optional;

/** One command of an operator. */
public interface Command {
  /**
   * Runs the command and prints its results.
   *
   * @return how it failed, empty if it succeeded
   */
  Optional<Failure> run();
}
