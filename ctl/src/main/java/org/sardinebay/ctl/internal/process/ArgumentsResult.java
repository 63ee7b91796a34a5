package org.sardinebay.ctl.internal.process;

import org.sardinebay.ctl.internal.request.Failure;

/** The result of parsing the command line. */
public sealed interface ArgumentsResult {
  /**
   * The command line is valid and names a command.
   *
   * @param arguments the parsed arguments
   */
  record Parsed(Arguments arguments) implements ArgumentsResult {}

  /** The help page is requested. */
  record HelpRequested() implements ArgumentsResult {}

  /** The program's version is requested. */
  record VersionRequested() implements ArgumentsResult {}

  /**
   * The command line is invalid.
   *
   * @param failure the reason
   */
  record Invalid(Failure failure) implements ArgumentsResult {}
}
