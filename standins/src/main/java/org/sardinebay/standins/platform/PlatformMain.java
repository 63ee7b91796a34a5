package org.sardinebay.standins.platform;

import org.sardinebay.net.ProgramRunner;

/**
 * Main class of the platform stand-in.
 *
 * <pre>{@code
 * java -cp sardinebay-standins-0.1.0-all.jar org.sardinebay.standins.platform.PlatformMain \
 *     --settings platform.json
 * }</pre>
 */
public final class PlatformMain {
  private PlatformMain() {}

  /**
   * Runs the platform stand-in.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(ProgramRunner.run(new PlatformProgram(), args));
  }
}
