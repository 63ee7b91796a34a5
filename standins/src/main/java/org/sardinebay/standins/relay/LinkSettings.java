package org.sardinebay.standins.relay;

import org.sardinebay.Address;
import org.sardinebay.record.FieldReader;

/**
 * Settings of a link.
 *
 * @param source the name of the connecting process
 * @param target the name of the process to which the link forwards
 * @param listen the address on which the link accepts connections of the source
 * @param forward the address of the target
 * @param delayMillis the delay in each direction in milliseconds
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
