package org.sardinebay.internal.version;

import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.platform.ObjectKey;

/** What a {@link Promotion} asks for. Each call and timer is answered by exactly one event. */
public sealed interface PromotionEffect {
  /**
   * Calls a member.
   *
   * @param member which
   * @param call what to ask
   * @param timeoutMillis how long to wait for the reply
   */
  record CallMember(MemberId member, EndpointCall call, long timeoutMillis)
      implements PromotionEffect {}

  /**
   * Reads an object of the platform.
   *
   * @param operation the number to answer with
   * @param key which
   * @param timeoutMillis how long to wait
   */
  record ReadObject(long operation, ObjectKey key, long timeoutMillis) implements PromotionEffect {}

  /**
   * Writes an object of the platform.
   *
   * @param operation the number to answer with
   * @param key which
   * @param expectedVersion the version to replace
   * @param record the new content
   * @param timeoutMillis how long to wait
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
   * @param timer the number to answer with
   * @param delayMillis its delay
   */
  record SetTimer(long timer, long delayMillis) implements PromotionEffect {}

  /**
   * A term is claimed by this driver.
   *
   * @param term the term
   */
  record Claimed(long term) implements PromotionEffect {}

  /**
   * A primary leads a new term; publishing may still take a while.
   *
   * @param term the term
   * @param primary its primary
   * @param start the position of the entry that opens the term
   */
  record Promoted(long term, MemberId primary, Position start) implements PromotionEffect {}

  /**
   * The promotion is over.
   *
   * @param outcome how it ended
   */
  record Finished(PromotionOutcome outcome) implements PromotionEffect {}
}
