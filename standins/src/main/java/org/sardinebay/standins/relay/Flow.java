package org.sardinebay.standins.relay;

/** A direction of a link. */
enum Flow {
  TO_TARGET,
  TO_SOURCE
}
