package org.sardinebay.standins.driver;

/** The driver's command line. */
public final class DriverMain {
  private DriverMain() {}
}
