package org.sardinebay.internal.request;

import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.Answer;
import org.sardinebay.Failure;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.RouteReason;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.version.AckPolicy;
import org.sardinebay.internal.version.DatabaseView;

/**
 * The state machine of one write with an idempotency key.
 *
 * <pre>{@code
 * WriteStep step = stateMachine.next(view, now);
 * // after Send: step = stateMachine.onReply(reply, view, now)
 * // after AwaitAck: step = stateMachine.onViewChanged(view, now) whenever the view changed
 * }</pre>
 *
 * <p>Once a call was sent and its reply is missing, the write is in doubt: from then on the answer
 * is the outcome recorded under the key, or unknown. It is not-run only if the key is found to be
 * revoked.
 */
public final class WriteStateMachine {
  /** The retry delay for callers while a primary is being promoted, in milliseconds. */
  public static final long RETRY_AFTER_PROMOTION_MILLIS = 200;

  /** The retry delay for callers of a database without a reachable majority, in milliseconds. */
  public static final long RETRY_AFTER_PARTITION_MILLIS = 1_000;

  /** The retry delay for callers of an overloaded member, in milliseconds. */
  public static final long RETRY_AFTER_OVERLOAD_MILLIS = 500;

  private static final long RETRY_DELAY_MILLIS = 20;
  private static final int MAX_NOT_RUN_ATTEMPTS = 3;

  private final RequestDeadline deadline;
  private final AckPolicy policy;
  private final Optional<String> key;
  private boolean inDoubt;
  private boolean keyRevoked;
  private int attempts;
  private Optional<MemberId> sentTo = Optional.empty();
  private Optional<EndpointReply.Done> executed = Optional.empty();

  /**
   * Creates the state machine of a write that has not been sent.
   *
   * @param deadline when its answer is due
   * @param policy decides when the write is acknowledged
   * @param key the idempotency key to state in the answer, if any
   * @param inDoubt whether an earlier attempt elsewhere may have run the write
   */
  public WriteStateMachine(
      RequestDeadline deadline, AckPolicy policy, Optional<String> key, boolean inDoubt) {
    this.deadline = deadline;
    this.policy = policy;
    this.key = key;
    this.inDoubt = inDoubt;
  }

  /**
   * Decides whether to send the write.
   *
   * @param view the current view of the database
   * @param now the current time in milliseconds
   * @return {@link WriteStep.Send}, {@link WriteStep.Pause} or {@link WriteStep.Finish}
   */
  public WriteStep next(DatabaseView view, long now) {
    if (deadline.passed(now)) {
      return giveUp(new Failure.DeadlineExceeded(), RETRY_AFTER_OVERLOAD_MILLIS);
    }
    Optional<MemberId> primary = view.primary();
    if (primary.isEmpty()) {
      Failure failure = new Failure.NoPrimary(view.database().id());
      return pauseOrGiveUp(failure, RETRY_AFTER_PROMOTION_MILLIS);
    }
    if (!view.majorityAnswers(now)) {
      Failure failure = new Failure.MajorityUnreachable(view.database().id());
      return pauseOrGiveUp(failure, RETRY_AFTER_PARTITION_MILLIS);
    }
    if (!view.reachable(primary.get(), now)) {
      Failure failure = new Failure.PrimaryUnreachable(primary.get());
      return pauseOrGiveUp(failure, RETRY_AFTER_PROMOTION_MILLIS);
    }
    sentTo = primary;
    return new WriteStep.Send(primary.get(), view.term());
  }

  /**
   * Records that the owner of this state machine has already sent the call.
   *
   * @param primary the member that received it
   */
  public void onSent(MemberId primary) {
    sentTo = Optional.of(primary);
  }

  /**
   * Processes the reply to the last call.
   *
   * @param reply the reply
   * @param view the current view of the database
   * @param now the current time in milliseconds
   * @return the next step
   */
  public WriteStep onReply(EndpointReply reply, DatabaseView view, long now) {
    attempts++;
    if (reply instanceof EndpointReply.Done done) {
      executed = Optional.of(done);
      return onViewChanged(view, now);
    }
    if (reply instanceof EndpointReply.Refused refused) {
      return onRefused(refused.refusal());
    }
    if (reply instanceof EndpointReply.NotSent) {
      return attempts < MAX_NOT_RUN_ATTEMPTS
          ? new WriteStep.Pause(RETRY_DELAY_MILLIS)
          : giveUp(
              new Failure.PrimaryUnreachable(sentTo.orElseThrow()), RETRY_AFTER_PROMOTION_MILLIS);
    }
    inDoubt = true;
    return new WriteStep.Pause(RETRY_DELAY_MILLIS);
  }

  /**
   * Processes a failure to obtain a connection, before the call was sent.
   *
   * @param failure the reason
   * @param retryAfterMillis after how many milliseconds the caller may retry
   * @param view the current view of the database
   * @param now the current time in milliseconds
   * @return a pause or a final answer if the primary can't be used now, otherwise a final answer
   *     with the given failure
   */
  public WriteStep onNotSent(Failure failure, long retryAfterMillis, DatabaseView view, long now) {
    WriteStep next = next(view, now);
    return next instanceof WriteStep.Send ? giveUp(failure, retryAfterMillis) : next;
  }

  /**
   * Processes a change of the view, or the passage of time, while the entry is not acknowledged
   * yet.
   *
   * @param view the current view of the database
   * @param now the current time in milliseconds
   * @return {@link WriteStep.AwaitAck} to continue waiting, or the next step
   */
  public WriteStep onViewChanged(DatabaseView view, long now) {
    EndpointReply.Done done = executed.orElseThrow();
    if (policy.acknowledges(view, done.position())) {
      return new WriteStep.Finish(done(done));
    }
    if (deadline.passed(now)) {
      return new WriteStep.Finish(unknown());
    }
    if (view.dropped(done.position())) {
      executed = Optional.empty();
      inDoubt = true;
      return next(view, now);
    }
    return new WriteStep.AwaitAck(done.position(), done.rows(), done.replay());
  }

  /**
   * The final answer if no further attempt is allowed.
   *
   * @return not-run or unknown
   */
  public Answer answerWithoutRetry() {
    return inDoubt
        ? unknown()
        : new Answer.NotRun(new Failure.Overloaded(), RETRY_AFTER_OVERLOAD_MILLIS);
  }

  private WriteStep onRefused(EndpointRefusal refusal) {
    return switch (refusal) {
      case KEY_REUSED -> new WriteStep.Finish(new Answer.Refused(new Failure.KeyReused()));
      case BAD_STATEMENT, BAD_CALL ->
          new WriteStep.Finish(new Answer.Refused(new Failure.BadStatement()));
      case CONFLICT -> new WriteStep.Finish(new Answer.Refused(new Failure.Conflict()));
      case REVOKED -> {
        keyRevoked = true;
        yield new WriteStep.Finish(
            new Answer.NotRun(new Failure.Revoked(), RETRY_AFTER_OVERLOAD_MILLIS));
      }
      case SLOT_TIMEOUT -> giveUp(new Failure.Overloaded(), RETRY_AFTER_OVERLOAD_MILLIS);
      case UNKNOWN_CONNECTION, CONNECTION_LIMIT, TRANSACTION_STATE ->
          attempts < MAX_NOT_RUN_ATTEMPTS
              ? new WriteStep.Pause(0)
              : giveUp(new Failure.Overloaded(), RETRY_AFTER_OVERLOAD_MILLIS);
      default ->
          pauseOrGiveUp(
              new Failure.PrimaryUnreachable(sentTo.orElseThrow()), RETRY_AFTER_PROMOTION_MILLIS);
    };
  }

  private WriteStep pauseOrGiveUp(Failure failure, long retryAfterMillis) {
    return inDoubt ? new WriteStep.Pause(RETRY_DELAY_MILLIS) : giveUp(failure, retryAfterMillis);
  }

  private WriteStep giveUp(Failure failure, long retryAfterMillis) {
    return new WriteStep.Finish(inDoubt ? unknown() : new Answer.NotRun(failure, retryAfterMillis));
  }

  private Answer unknown() {
    return new Answer.Unknown(new Failure.OutcomeUnknown(), key);
  }

  private Answer done(EndpointReply.Done done) {
    Position position = done.position();
    return new Answer.Done(
        done.rows(),
        Optional.of(position),
        done.replay(),
        Optional.empty(),
        key,
        OptionalLong.empty(),
        new Answer.ServedBy(sentTo.orElseThrow(), true, RouteReason.WRITES_GO_TO_PRIMARY));
  }

  /**
   * Whether an attempt without a reply may have run the write.
   *
   * @return true if the write can no longer be reported as not run
   */
  public boolean inDoubt() {
    return inDoubt;
  }

  /**
   * Whether the key was found to be revoked, so that no attempt can run any more.
   *
   * @return true if the write may be reported as not run although an attempt was in doubt
   */
  public boolean keyRevoked() {
    return keyRevoked;
  }
}
