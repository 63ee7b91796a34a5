package org.sardinebay.controller;

import org.sardinebay.controller.internal.process.ControllerBinary;
import org.sardinebay.net.BinaryMain;

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
   * Runs the program.
   *
   * @param args the command line; see {@code --help}
   */
  public static void main(String[] args) {
    System.exit(BinaryMain.run(new ControllerBinary(), args));
  }
}
