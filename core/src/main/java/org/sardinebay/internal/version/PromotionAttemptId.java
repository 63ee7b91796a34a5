package org.sardinebay.internal.version;

import java.util.Objects;

/**
 * The ID of one promotion attempt. The term claimed by the attempt belongs to this ID. Stored
 * records and messages call the attempt the driver of the promotion.
 *
 * @param process the name of the running process, different after each start
 * @param attempt the number of the attempt within the process
 */
public record PromotionAttemptId(String process, long attempt) {
  private static final char SEPARATOR = '#';

  /** Checks that the process is not null. */
  public PromotionAttemptId {
    Objects.requireNonNull(process, "process");
  }

  /**
   * Returns whether an ID belongs to an attempt of the same process.
   *
   * @param attemptId an ID in the format of {@link #toString()}
   * @return true if this process made that attempt
   */
  public boolean sameProcess(String attemptId) {
    return attemptId.startsWith(process + SEPARATOR);
  }

  @Override
  public String toString() {
    return process + SEPARATOR + attempt;
  }
}
