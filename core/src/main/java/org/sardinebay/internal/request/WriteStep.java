package org.sardinebay.internal.request;

import java.util.List;
import org.sardinebay.Answer;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

/** What a write does next. */
public sealed interface WriteStep {
  /**
   * Sends the write to the primary.
   *
   * @param primary the primary
   * @param term the term that it leads
   */
  record Send(MemberId primary, long term) implements WriteStep {}

  /**
   * Waits, then asks {@link WriteMachine#next} again.
   *
   * @param millis how long
   */
  record Pause(long millis) implements WriteStep {}

  /**
   * Waits until the entry is acknowledged or its fate changes.
   *
   * @param position the entry
   * @param rows what the write returned
   * @param replay whether the effect had been there already
   */
  record AwaitAck(Position position, List<String> rows, boolean replay) implements WriteStep {}

  /**
   * Answers the caller.
   *
   * @param answer the final answer
   */
  record Finish(Answer answer) implements WriteStep {}
}
