package org.sardinebay.ctl.internal.process;

import java.io.PrintStream;
import org.sardinebay.ctl.internal.request.Failure;
import org.sardinebay.ctl.internal.request.FailureReport;

/**
 * Prints failures in one form: what happened, why, and what to do next.
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
   * @param err where failures go
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
    err.println("error: " + report.what());
    report.causes().forEach(cause -> err.println("cause: " + cause));
    err.println("next:  " + report.next());
    return report.exitStatus();
  }
}
