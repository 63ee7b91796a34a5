/**
 * Starts a deployment of real processes, drives callers and faults, and checks the histories. Start
 * reading at {@link org.sardinebay.standins.driver.DriverMain}.
 */
package org.sardinebay.standins.driver;
