package org.sardinebay.standins.relay;

/** One direction of a link. */
enum Flow {
  TO_TARGET,
  TO_SOURCE
}
