package org.sardinebay.internal.request;

import org.sardinebay.MemberId;

/** The load on this proxy's connections to the members. */
@FunctionalInterface
public interface MemberLoad {
  /**
   * Whether a statement could be sent to a member immediately.
   *
   * @param member the member
   * @return true if a connection is free and no statement is queued for one
   */
  boolean idle(MemberId member);
}
