/**
 * A stand-in of the platform. Its decisions are in {@link
 * org.sardinebay.standins.platform.PlatformState}.
 */
package org.sardinebay.standins.platform;
