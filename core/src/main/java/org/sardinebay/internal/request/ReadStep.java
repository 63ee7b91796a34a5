package org.sardinebay.internal.request;

import org.sardinebay.Answer;
import org.sardinebay.Position;

/** The next step of a read. */
public sealed interface ReadStep {
  /**
   * Sends the read to a member.
   *
   * @param route the member and the position that it must have applied
   */
  record Send(ReadRoute.ToMember route) implements ReadStep {}

  /**
   * Waits until the last entry that the read reflects is known to survive a change of primary.
   *
   * @param position the last entry that the read reflects
   */
  record AwaitDurable(Position position) implements ReadStep {}

  /**
   * Completes the read with an answer to the caller.
   *
   * @param answer the final answer
   */
  record Finish(Answer answer) implements ReadStep {}
}
