/**
 * Stand-in for the platform. Its logic is in {@link
 * org.sardinebay.standins.platform.PlatformState}.
 */
package org.sardinebay.standins.platform;
