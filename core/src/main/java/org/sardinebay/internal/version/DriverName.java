package org.sardinebay.internal.version;

import java.util.Objects;

/**
 * The name of one attempt at a promotion. It owns the term that the attempt claims.
 *
 * @param process the name of the running process, different after each start
 * @param attempt the number of the attempt within the process
 */
public record DriverName(String process, long attempt) {
  private static final char SEPARATOR = '#';

  /** Checks that the process is named. */
  public DriverName {
    Objects.requireNonNull(process, "process");
  }

  /**
   * Whether another attempt of the same process has some name.
   *
   * @param driver the name, as {@link #toString()} gave it
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
