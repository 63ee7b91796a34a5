package org.sardinebay.internal.request;

import org.sardinebay.Failure;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.RouteReason;

/** The routing decision for a read. */
public sealed interface ReadRoute {
  /**
   * The read goes to a member.
   *
   * @param member the member
   * @param primary whether the member is believed to be the primary
   * @param minimumPosition the position that the member must have applied
   * @param maxWaitMillis how long the member may wait to apply that position, in milliseconds
   * @param reason why the member was chosen
   */
  record ToMember(
      MemberId member,
      boolean primary,
      Position minimumPosition,
      long maxWaitMillis,
      RouteReason reason)
      implements ReadRoute {}

  /**
   * No member can serve the read now.
   *
   * @param failure the reason
   */
  record Unavailable(Failure failure) implements ReadRoute {}
}
