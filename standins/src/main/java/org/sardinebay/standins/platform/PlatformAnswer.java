package org.sardinebay.standins.platform;

import org.sardinebay.platform.PlatformResult;

/** How the platform's stand-in answers a call. */
sealed interface PlatformAnswer {
  /**
   * The answer is known.
   *
   * @param result the result
   * @param delayMillis when it leaves
   */
  record Known(PlatformResult result, long delayMillis) implements PlatformAnswer {}

  /** The call took effect, and its answer never leaves. */
  record Lost() implements PlatformAnswer {}

  /**
   * A watch waits for a change.
   *
   * @param watch its number
   */
  record Waiting(long watch) implements PlatformAnswer {}
}
