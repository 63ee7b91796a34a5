package org.sardinebay.internal.request;

import java.util.List;
import org.sardinebay.Answer;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

/** The next step of a write. */
public sealed interface WriteStep {
  /**
   * Sends the write to the primary.
   *
   * @param primary the primary
   * @param term the term in which the member is the primary
   */
  record Send(MemberId primary, long term) implements WriteStep {}

  /**
   * Waits, then calls {@link WriteStateMachine#next} again.
   *
   * @param millis how long to wait, in milliseconds
   */
  record Pause(long millis) implements WriteStep {}

  /**
   * Waits until the entry is acknowledged or dropped, or the deadline passes.
   *
   * @param position the position of the entry
   * @param rows the rows that the write returned
   * @param replay whether the key already had this effect, so that nothing ran now
   */
  record AwaitAck(Position position, List<String> rows, boolean replay) implements WriteStep {}

  /**
   * Completes the write with an answer to the caller.
   *
   * @param answer the final answer
   */
  record Finish(Answer answer) implements WriteStep {}
}
