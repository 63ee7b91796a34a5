package org.sardinebay.internal.request;

import org.sardinebay.MemberId;

/** Tells how busy this proxy's connections to a member are. */
@FunctionalInterface
public interface MemberLoad {
  /**
   * Whether a statement would start at once.
   *
   * @param member the member
   * @return true if a connection is free and nothing waits for one
   */
  boolean idle(MemberId member);
}
