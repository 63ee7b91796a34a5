package org.sardinebay.internal.version;

import org.sardinebay.MemberId;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.platform.PlatformResult;

/** An event passed to a {@link PromotionStateMachine}. */
public sealed interface PromotionEvent {
  /** The promotion starts. */
  record Started() implements PromotionEvent {}

  /**
   * A call to a member ended.
   *
   * @param member the member called
   * @param call the call
   * @param reply its reply or failure
   */
  record MemberReplied(MemberId member, EndpointCall call, EndpointReply reply)
      implements PromotionEvent {}

  /**
   * A call to the platform ended.
   *
   * @param operation the number given in the effect
   * @param result its result
   */
  record PlatformReplied(long operation, PlatformResult result) implements PromotionEvent {}

  /**
   * A timer ended.
   *
   * @param timer the number given in the effect
   */
  record TimerEnded(long timer) implements PromotionEvent {}
}
