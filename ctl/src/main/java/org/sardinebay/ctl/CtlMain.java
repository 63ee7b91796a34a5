package org.sardinebay.ctl;

import java.io.PrintStream;
import java.util.Optional;
import org.sardinebay.ctl.internal.process.ArgumentsResult;
import org.sardinebay.ctl.internal.process.CommandLine;
import org.sardinebay.ctl.internal.process.Commands;
import org.sardinebay.ctl.internal.process.FailurePrinter;
import org.sardinebay.ctl.internal.request.Failure;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.net.http.JsonHttpClient;

/**
 * The operators' command-line tool.
 *
 * <pre>{@code
 * sardinebayctl --platform 127.0.0.1:7000 apply -f contracts-1.json
 * sardinebayctl --platform 127.0.0.1:7000 status databases contracts-1
 * }</pre>
 */
public final class CtlMain {
  private CtlMain() {}

  /**
   * Runs one command and exits.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(run(System.out, System.err, args));
  }

  /**
   * Runs one command.
   *
   * @param out the stream for results
   * @param err the stream for errors
   * @param args the command-line arguments
   * @return the exit status: 0 success, 1 failure, 2 invalid arguments or record, 3 conflict
   */
  public static int run(PrintStream out, PrintStream err, String... args) {
    CommandLine commandLine = new CommandLine();
    ArgumentsResult result = commandLine.parse(args);
    if (result instanceof ArgumentsResult.HelpRequested) {
      commandLine.help().forEach(out::println);
      return ProgramRunner.EXIT_OK;
    }
    if (result instanceof ArgumentsResult.VersionRequested) {
      out.println("sardinebayctl " + ProgramRunner.VERSION);
      return ProgramRunner.EXIT_OK;
    }
    if (result instanceof ArgumentsResult.Invalid invalid) {
      return new FailurePrinter(err).print(invalid.failure());
    }
    ArgumentsResult.Parsed parsed = (ArgumentsResult.Parsed) result;
    JsonHttpClient http = JsonHttpClient.start("ctl", 1);
    try {
      Optional<Failure> failure = Commands.of(parsed.arguments(), http, out, err).run();
      return failure.map(new FailurePrinter(err)::print).orElse(ProgramRunner.EXIT_OK);
    } finally {
      http.stop();
    }
  }
}
