package org.sardinebay.session;

/** A member's role as the member reports it. */
public enum MemberRole {
  /** The member accepts writes. */
  PRIMARY,
  /** The member replicates a primary. */
  REPLICA
}
