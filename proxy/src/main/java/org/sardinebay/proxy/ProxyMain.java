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
   * Runs the proxy until it is shut down, then exits the JVM with its exit code.
   *
   * @param args the command-line arguments; {@code --help} lists them
   */
  public static void main(String[] args) {
    System.exit(BinaryMain.run(new ProxyBinary(), args));
  }
}
