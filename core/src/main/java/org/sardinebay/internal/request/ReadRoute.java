package org.sardinebay.internal.request;

import org.sardinebay.Failure;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.RouteReason;

/** Where a read goes next. */
public sealed interface ReadRoute {
  /**
   * To a member.
   *
   * @param member the member
   * @param primary whether it is taken as the primary
   * @param least the position that it must show
   * @param maxWaitMillis how long it may wait to reach it
   * @param reason why it was chosen
   */
  record ToMember(
      MemberId member, boolean primary, Position least, long maxWaitMillis, RouteReason reason)
      implements ReadRoute {}

  /**
   * Nowhere: no member can serve it now.
   *
   * @param failure why
   */
  record Nowhere(Failure failure) implements ReadRoute {}
}
