package org.sardinebay.proxy;

import org.sardinebay.net.BinaryMain;
import org.sardinebay.proxy.internal.process.ProxyBinary;

/**
 * Starts the proxy.
 *
 * <pre>{@code
 * sardinebay-proxy --settings proxy.json
 * }</pre>
 */
public final class ProxyMain {
  private ProxyMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line; see {@code --help}
   */
  public static void main(String[] args) {
    System.exit(BinaryMain.run(new ProxyBinary(), args));
  }
}
