package org.sardinebay.standins.impeller;

import java.util.function.Predicate;

/** A fault of one answer. Repeated answers are equal to the first byte for byte. */
sealed interface AnswerFault {
  /** Returns the fault of an answer that is sent again before the next request is run. */
  static AnswerFault repeatBeforeNext() {
    return new RepeatBefore(request -> true);
  }

  /** The statement is not run, but answered with an error. */
  record Refuse(String code) implements AnswerFault {}

  /** The answer is late. */
  record Delay(long millis) implements AnswerFault {}

  /** The answer is sent again after some time. */
  record RepeatLater(long millis) implements AnswerFault {}

  /**
   * The answer is sent again when such a request has arrived on the connection, before it is run.
   */
  record RepeatBefore(Predicate<MemberRequest> requests) implements AnswerFault {}

  /** The answer is sent again together with the answer to the next request, behind it. */
  record RepeatAfterNext() implements AnswerFault {}

  /** Only the first bytes of the answer are sent. */
  record CutBytes(int bytes, boolean closes) implements AnswerFault {}

  /** Only the first lines of the answer are sent. */
  record CutLines(int lines, boolean closes) implements AnswerFault {}
}
