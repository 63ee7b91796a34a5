package org.sardinebay.ctl;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * What one run of the command line printed and returned.
 *
 * @param exitStatus its exit status
 * @param out its results
 * @param err its errors
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
