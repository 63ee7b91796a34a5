package org.sardinebay.ctl.internal.request;

import java.util.Optional;

/** An operator's command. */
public interface Command {
  /**
   * Runs the command and prints its results.
   *
   * @return the failure, or empty if the command succeeded
   */
  Optional<Failure> run();
}
