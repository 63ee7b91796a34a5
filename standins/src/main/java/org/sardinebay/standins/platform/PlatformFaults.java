package org.sardinebay.standins.platform;

import org.sardinebay.record.FieldReader;

/**
 * The faults that the platform stand-in simulates.
 *
 * @param outage whether all calls fail immediately as unavailable
 * @param delayMillis the delay of each answer in milliseconds
 * @param loseAnswers how many of the next effective writes and deletions are not answered
 */
public record PlatformFaults(boolean outage, long delayMillis, long loseAnswers) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);

  private static final long MAX_DELAY_MILLIS = 600_000;

  /**
   * Reads changed faults. Absent fields keep their current value.
   *
   * @param reader the fields
   * @param current the current faults
   * @return the new faults, valid only if the reader has no problems
   */
  static PlatformFaults read(FieldReader reader, PlatformFaults current) {
    return new PlatformFaults(
        reader.flag("outage", current.outage()),
        reader.number("delayMillis", 0, MAX_DELAY_MILLIS, current.delayMillis()),
        reader.number("loseAnswers", 0, Integer.MAX_VALUE, current.loseAnswers()));
  }

  PlatformFaults withOneAnswerLost() {
    return new PlatformFaults(outage, delayMillis, loseAnswers - 1);
  }
}
