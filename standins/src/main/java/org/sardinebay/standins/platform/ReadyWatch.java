package org.sardinebay.standins.platform;

/**
 * A watch that has ended.
 *
 * @param watch the number of the watch
 * @param answer the answer to the watch
 */
record ReadyWatch(long watch, PlatformAnswer.Known answer) {}
