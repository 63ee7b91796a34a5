package org.sardinebay.gateway;

import org.sardinebay.gateway.internal.process.GatewayBinary;
import org.sardinebay.net.BinaryMain;

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
    System.exit(BinaryMain.run(new GatewayBinary(), args));
  }
}
