package org.sardinebay.session;

/** A member's role as it sees itself. */
public enum MemberRole {
  /** It accepts writes. */
  PRIMARY,
  /** It follows a primary. */
  REPLICA
}
