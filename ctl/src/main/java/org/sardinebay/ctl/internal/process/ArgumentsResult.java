package org.sardinebay.ctl.internal.process;

import org.sardinebay.ctl.internal.request.Failure;

/** What reading the command line came to. */
public sealed interface ArgumentsResult {
  /**
   * A command is to be run.
   *
   * @param arguments its arguments
   */
  record Parsed(Arguments arguments) implements ArgumentsResult {}

  /** The help page is wanted. */
  record HelpWanted() implements ArgumentsResult {}

  /** The program's version is wanted. */
  record VersionWanted() implements ArgumentsResult {}

  /**
   * The command line is wrong.
   *
   * @param failure how
   */
  record Wrong(Failure failure) implements ArgumentsResult {}
}
