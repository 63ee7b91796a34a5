package org.sardinebay.internal.request;

import org.sardinebay.Answer;
import org.sardinebay.Position;

/** What a read does next. */
public sealed interface ReadStep {
  /**
   * Sends the read to a member.
   *
   * @param route the member and what it must show
   */
  record Send(ReadRoute.ToMember route) implements ReadStep {}

  /**
   * Waits until the entry that the read showed is known to survive.
   *
   * @param position the last entry that the read showed
   */
  record AwaitDurable(Position position) implements ReadStep {}

  /**
   * Answers the caller.
   *
   * @param answer the final answer
   */
  record Finish(Answer answer) implements ReadStep {}
}
