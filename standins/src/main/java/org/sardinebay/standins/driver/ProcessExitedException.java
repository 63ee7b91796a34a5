package org.sardinebay.standins.driver;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown when a process exits while the driver waits for processes to become ready, for example
 * because its port is in use.
 */
final class ProcessExitedException extends IOException {
  private static final long serialVersionUID = 1L;

  ProcessExitedException(String process, Path folder) {
    super(process + " exited; see its log in " + folder);
  }
}
