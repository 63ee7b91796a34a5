package org.sardinebay.endpoint;

/** What a member is in its current term. */
public enum MemberRole {
  /** Takes the term's writes. */
  PRIMARY,
  /** Follows the term's primary. */
  REPLICA,
  /** Has seen the term but follows no primary of it yet. */
  FENCED
}
