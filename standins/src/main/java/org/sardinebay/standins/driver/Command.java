package org.sardinebay.standins.driver;

import java.io.IOException;
import java.io.PrintStream;

/** One of the driver's commands. */
interface Command {
  String summary();

  /** Runs it and returns the exit status. */
  int run(Options options, PrintStream out) throws IOException, InterruptedException;
}
