package org.sardinebay.standins.driver;

/** The outcome of a request for its caller. */
enum Outcome {
  DONE,
  NOT_RUN,
  REFUSED,
  UNKNOWN,
  /** No response, or one that can't be parsed. */
  NO_ANSWER
}
