package org.sardinebay.internal.version;

import java.util.Objects;

/**
 * The name of one promotion attempt. The term claimed by the attempt belongs to this name.
 *
 * @param process the name of the running process, different after each start
 * @param attempt the number of the attempt within the process
 */
public record DriverName(String process, long attempt) {
  private static final char SEPARATOR = '#';

  /** Checks that the process is not null. */
  public DriverName {
    Objects.requireNonNull(process, "process");
  }

  /**
   * Returns whether a name belongs to an attempt of the same process.
   *
   * @param driver a driver name in the format of {@link #toString()}
   * @return true if this process made that attempt
   */
  public boolean sameProcess(String driver) {
    return driver.startsWith(process + SEPARATOR);
  }

  @Override
  public String toString() {
    return process + SEPARATOR + attempt;
  }
}
