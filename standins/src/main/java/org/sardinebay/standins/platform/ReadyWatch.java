package org.sardinebay.standins.platform;

/**
 * A watch that waits no longer.
 *
 * @param watch its number
 * @param answer its answer
 */
record ReadyWatch(long watch, PlatformAnswer.Known answer) {}
