package org.sardinebay.standins.platform;

import org.sardinebay.platform.PlatformResult;

/** How the platform stand-in answers a call. */
sealed interface PlatformAnswer {
  /**
   * The answer is known and is sent after a delay.
   *
   * @param result the result
   * @param delayMillis the delay in milliseconds before the answer is sent
   */
  record Known(PlatformResult result, long delayMillis) implements PlatformAnswer {}

  /** The call took effect, but its answer is never sent. */
  record Lost() implements PlatformAnswer {}

  /**
   * The call is a watch that waits for a change.
   *
   * @param watch the number of the watch
   */
  record Waiting(long watch) implements PlatformAnswer {}
}
