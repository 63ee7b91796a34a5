package org.sardinebay.controller;

import org.sardinebay.controller.internal.process.ControllerProgram;
import org.sardinebay.net.HangupSignal;
import org.sardinebay.net.ProgramRunner;

/**
 * Starts the controller.
 *
 * <pre>{@code
 * sardinebay-controller --settings controller.json
 * }</pre>
 */
public final class ControllerMain {
  private ControllerMain() {}

  /**
   * Runs the controller until it is shut down, then exits the JVM with its exit code.
   *
   * @param args the command-line arguments; {@code --help} lists them
   */
  public static void main(String[] args) {
    HangupSignal.ignore();
    System.exit(ProgramRunner.run(new ControllerProgram(), args));
  }
}
