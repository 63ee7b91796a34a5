package org.sardinebay.standins.driver;

import org.sardinebay.Clock;

/**
 * Overloads the platform with reads beyond its rate limit, so that it refuses calls from every
 * client.
 */
final class PlatformFlood {
  private static final int READERS = 16;

  private final ControlClient controls;
  private final Clock clock = Clock.system();

  PlatformFlood(ControlClient controls) {
    this.controls = controls;
  }

  /** Starts reading for the given time in milliseconds; returns immediately. */
  void run(long millis) {
    long endMillis = clock.millis() + millis;
    for (int i = 0; i < READERS; i++) {
      Thread reader = new Thread(() -> readUntil(endMillis), "flood-" + i);
      reader.setDaemon(true);
      reader.start();
    }
  }

  private void readUntil(long endMillis) {
    while (clock.millis() < endMillis) {
      controls.readObject("staleness", "none");
    }
  }
}
