package org.sardinebay.standins.driver;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs {@code sardinebayctl} as a child process that inherits the driver's output streams. */
final class CtlRunner {
  private static final String MAIN_CLASS = "org.sardinebay.ctl.CtlMain";

  private CtlRunner() {}

  /** Runs a command and returns its exit status. */
  static int run(List<String> arguments) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS));
    command.addAll(arguments);
    return new ProcessBuilder(command).inheritIO().start().waitFor();
  }
}
