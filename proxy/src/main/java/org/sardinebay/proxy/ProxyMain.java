package org.sardinebay.proxy;

import org.sardinebay.net.HangupSignal;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.proxy.internal.process.ProxyProgram;

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
    HangupSignal.ignore();
    System.exit(ProgramRunner.run(new ProxyProgram(), args));
  }
}
