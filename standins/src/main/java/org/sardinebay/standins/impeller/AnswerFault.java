package org.sardinebay.standins.impeller;

/** A fault of one answer. Repeated answers are equal to the first byte for byte. */
sealed interface AnswerFault {
  /** The statement is not run, but answered with an error. */
  record Refuse(String code) implements AnswerFault {}

  /** The answer is late. */
  record Delay(long millis) implements AnswerFault {}

  /** The answer is sent again after some time. */
  record RepeatLater(long millis) implements AnswerFault {}

  /** The answer is sent again when the connection's next request has arrived, before it is run. */
  record RepeatBeforeNext() implements AnswerFault {}

  /** The answer is sent again together with the answer to the next request, behind it. */
  record RepeatAfterNext() implements AnswerFault {}

  /** Only the first bytes of the answer are sent. */
  record CutBytes(int bytes, boolean closes) implements AnswerFault {}

  /** Only the first lines of the answer are sent. */
  record CutLines(int lines, boolean closes) implements AnswerFault {}
}
