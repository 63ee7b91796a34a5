package org.sardinebay.endpoint;

/** The role of a member in its current term. */
public enum MemberRole {
  /** The member accepts the term's writes. */
  PRIMARY,
  /** The member replicates the term's primary. */
  REPLICA,
  /** The member has seen the term but does not follow its primary yet. */
  FENCED
}
