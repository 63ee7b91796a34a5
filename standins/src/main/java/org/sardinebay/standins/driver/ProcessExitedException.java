package org.sardinebay.standins.driver;

import java.io.IOException;
import java.nio.file.Path;

/** A process ended while the deployment was starting, for example as its port was taken. */
final class ProcessExitedException extends IOException {
  private static final long serialVersionUID = 1L;

  ProcessExitedException(String process, Path folder) {
    super(process + " exited; see its log in " + folder);
  }
}
