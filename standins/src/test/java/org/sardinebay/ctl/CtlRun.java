package org.sardinebay.ctl;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * The exit status and output of one run of {@code sardinebayctl}.
 *
 * @param exitStatus the exit status
 * @param out the text written to standard output
 * @param err the text written to standard error
 */
public record CtlRun(int exitStatus, String out, String err) {

  public static CtlRun of(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status =
        CtlMain.run(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            args);
    return new CtlRun(
        status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }
}
