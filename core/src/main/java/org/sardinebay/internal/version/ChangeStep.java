package org.sardinebay.internal.version;

import org.sardinebay.MemberId;

/** An action that the driver of a {@link PrimaryChange} has to perform. */
public sealed interface ChangeStep {
  /**
   * Announces the change in the store, so that hosts stop relying on members that this driver can't
   * fence.
   *
   * @param term the next term
   */
  record Announce(long term) implements ChangeStep {}

  /**
   * Withdraws the announcement: the change was abandoned without an order, or has ended in an
   * earlier term than announced.
   *
   * @param term the term of the primary in use
   */
  record Withdraw(long term) implements ChangeStep {}

  /**
   * Demotes a leaving primary, or one that was replaced in an older term, to a replica, so that it
   * acknowledges no further writes.
   *
   * @param member the primary
   * @param term the next term
   */
  record Demote(MemberId member, long term) implements ChangeStep {}

  /**
   * Fences a replica, so that it stops receiving entries.
   *
   * @param member the replica
   * @param term the next term
   */
  record Fence(MemberId member, long term) implements ChangeStep {}

  /**
   * Unfences a replica, so that it receives entries again: the change was abandoned or has
   * completed.
   *
   * @param member the replica
   */
  record Unfence(MemberId member) implements ChangeStep {}

  /**
   * Orders the promotion of a member.
   *
   * @param member the member
   */
  record Promote(MemberId member) implements ChangeStep {}

  /**
   * Requests the status of a member.
   *
   * @param member the member
   */
  record QueryStatus(MemberId member) implements ChangeStep {}
}
