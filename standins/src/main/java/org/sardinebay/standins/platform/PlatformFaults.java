package org.sardinebay.standins.platform;

import org.sardinebay.record.FieldReader;

/**
 * The faults that the platform's stand-in shows.
 *
 * @param outage whether every call is refused at once
 * @param delayMillis how late every answer leaves
 * @param loseAnswers how many of the next writes take effect and get no answer
 */
public record PlatformFaults(boolean outage, long delayMillis, long loseAnswers) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);

  private static final long MAX_DELAY_MILLIS = 600_000;

  /**
   * Reads changed faults; absent fields stay as they are.
   *
   * @param reader the fields
   * @param current the present faults
   * @return the faults; used only if the reader found no problem
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
