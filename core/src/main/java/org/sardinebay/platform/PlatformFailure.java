package org.sardinebay.platform;

/** The reason why a call to the platform failed. */
public enum PlatformFailure {
  /** The call was not sent; nothing changed. */
  NOT_SENT,
  /** The call exceeded the rate limit; nothing changed. */
  RATE_LIMITED,
  /** The platform reported that it is unavailable; nothing changed. */
  UNAVAILABLE,
  /** The changes after the requested revision are no longer kept: list all objects again. */
  HISTORY_GONE,
  /** No answer arrived, or it can't be parsed; a write may have taken effect. */
  NO_ANSWER,
  /** The platform can't parse the call; nothing changed. */
  BAD_CALL
}
