package org.sardinebay.gateway;

import org.sardinebay.gateway.internal.process.GatewayProgram;
import org.sardinebay.net.HangupSignal;
import org.sardinebay.net.ProgramRunner;

/**
 * Starts the gateway.
 *
 * <pre>{@code
 * sardinebay-gateway --settings gateway.json
 * }</pre>
 */
public final class GatewayMain {
  private GatewayMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line; see {@code --help}
   */
  public static void main(String[] args) {
    HangupSignal.ignore();
    System.exit(ProgramRunner.run(new GatewayProgram(), args));
  }
}
