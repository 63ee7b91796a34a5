package org.sardinebay.internal.request;

import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.Position;

/**
 * The consistency requirements of a read.
 *
 * @param session the latest position that the session wrote or read, if the request carries one
 * @param maxAgeMillis the maximum age of the data in milliseconds, if the caller states one
 */
public record ReadRequirement(Optional<Position> session, OptionalLong maxAgeMillis) {}
