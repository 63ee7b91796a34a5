package org.sardinebay.standins.driver;

import java.io.IOException;
import java.io.PrintStream;

/** A command of the driver. */
interface Command {
  String summary();

  /** Runs the command and returns the exit status. */
  int run(Options options, PrintStream out) throws IOException, InterruptedException;
}
