package org.sardinebay.ctl.internal.process;

import java.io.PrintStream;
import org.sardinebay.ctl.internal.request.Failure;
import org.sardinebay.ctl.internal.request.FailureReport;

/**
 * Prints failures in a uniform format: what happened, why, and what to do next.
 *
 * <pre>{@code
 * return new FailurePrinter(System.err).print(failure);
 * }</pre>
 */
public final class FailurePrinter {
  private final PrintStream err;

  /**
   * Creates a printer.
   *
   * @param err the stream for failures
   */
  public FailurePrinter(PrintStream err) {
    this.err = err;
  }

  /**
   * Prints a failure.
   *
   * @param failure the failure
   * @return the exit status
   */
  public int print(Failure failure) {
    FailureReport report = failure.report();
    err.println("error: " + report.summary());
    report.causes().forEach(cause -> err.println("cause: " + cause));
    err.println("next:  " + report.nextStep());
    return report.exitStatus();
  }
}
