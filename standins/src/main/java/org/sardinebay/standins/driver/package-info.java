/**
 * Starts deployments of real processes, generates caller traffic, injects faults and checks the
 * recorded histories. The entry point is {@link org.sardinebay.standins.driver.DriverMain}.
 */
package org.sardinebay.standins.driver;
