package org.sardinebay.internal.version;

import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.platform.ObjectKey;

/**
 * An action requested by a {@link PromotionStateMachine}. Each call and timer results in exactly
 * one {@link PromotionEvent}.
 */
public sealed interface PromotionEffect {
  /**
   * Calls a member.
   *
   * @param member the member
   * @param call the call to send
   * @param timeoutMillis the timeout, in milliseconds
   */
  record CallMember(MemberId member, EndpointCall call, long timeoutMillis)
      implements PromotionEffect {}

  /**
   * Reads an object of the platform.
   *
   * @param operation the number to be returned in the event
   * @param key the object's key
   * @param timeoutMillis the timeout, in milliseconds
   */
  record ReadObject(long operation, ObjectKey key, long timeoutMillis) implements PromotionEffect {}

  /**
   * Writes an object of the platform.
   *
   * @param operation the number to be returned in the event
   * @param key the object's key
   * @param expectedVersion the version that the stored object must have
   * @param record the new content
   * @param timeoutMillis the timeout, in milliseconds
   */
  record WriteObject(
      long operation,
      ObjectKey key,
      long expectedVersion,
      PromotionRecord record,
      long timeoutMillis)
      implements PromotionEffect {}

  /**
   * Starts a timer.
   *
   * @param timer the number to be returned in the event
   * @param delayMillis the delay, in milliseconds
   */
  record SetTimer(long timer, long delayMillis) implements PromotionEffect {}

  /**
   * This driver has claimed a term.
   *
   * @param term the term
   */
  record Claimed(long term) implements PromotionEffect {}

  /**
   * A member has become the primary of a new term; it may not be published yet.
   *
   * @param term the term
   * @param primary its primary
   * @param start the position of the first entry of the term
   */
  record Promoted(long term, MemberId primary, Position start) implements PromotionEffect {}

  /**
   * The promotion has ended.
   *
   * @param outcome how it ended
   */
  record Finished(PromotionOutcome outcome) implements PromotionEffect {}
}
