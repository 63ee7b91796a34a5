package org.sardinebay.standins.relay;

import org.sardinebay.Address;
import org.sardinebay.record.FieldReader;

/**
 * Describes one link.
 *
 * @param source the name of the process that connects
 * @param target the name of the process that it reaches
 * @param listen where the source connects
 * @param forward where the target listens
 * @param delayMillis how long bytes take each way
 */
public record LinkSettings(
    String source, String target, Address listen, Address forward, long delayMillis) {
  static final long MAX_DELAY_MILLIS = 60_000;

  static LinkSettings read(FieldReader reader) {
    return new LinkSettings(
        reader.text("source"),
        reader.text("target"),
        reader.address("listen"),
        reader.address("forward"),
        reader.number("delayMillis", 0, MAX_DELAY_MILLIS, 0));
  }
}
