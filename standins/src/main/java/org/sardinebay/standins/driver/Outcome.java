package org.sardinebay.standins.driver;

/** What a request came to, as its caller saw it. */
enum Outcome {
  DONE,
  NOT_RUN,
  REFUSED,
  UNKNOWN,
  /** No answer at all, or one that can't be read. */
  NO_ANSWER
}
