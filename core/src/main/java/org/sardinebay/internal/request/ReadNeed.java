package org.sardinebay.internal.request;

import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.Position;

/**
 * What a read has to show.
 *
 * @param session the position that the session wrote or read last, if it carries one
 * @param maxAgeMillis the greatest age accepted, if one is stated
 */
public record ReadNeed(Optional<Position> session, OptionalLong maxAgeMillis) {}
