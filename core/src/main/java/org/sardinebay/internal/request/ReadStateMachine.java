package org.sardinebay.internal.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sardinebay.Answer;
import org.sardinebay.Failure;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.version.DatabaseView;

/**
 * The state machine of one read.
 *
 * <pre>{@code
 * ReadStep step = stateMachine.next(view, load, now);
 * // after Send: step = stateMachine.onReply(reply, view, load, now)
 * // after AwaitDurable, whenever the view changed:
 * // step = stateMachine.onViewChanged(view, load, now)
 * }</pre>
 *
 * <p>Rows are returned only once the log entries that they reflect are known to survive a change of
 * primary, so that no caller sees data that is dropped later.
 */
public final class ReadStateMachine {
  private static final int MAX_ATTEMPTS = 4;

  private final ReadRouter router;
  private final ReadRequirement requirement;
  private final RequestDeadline deadline;
  private final Set<MemberId> tried = new HashSet<>();
  private int attempts;
  private Optional<ReadRoute.ToMember> currentRoute = Optional.empty();
  private Optional<EndpointReply.Done> pendingReply = Optional.empty();

  /**
   * Creates the state machine of a read that has not been sent.
   *
   * @param router chooses the members that the read is sent to
   * @param requirement the read's consistency requirements
   * @param deadline when its answer is due
   */
  public ReadStateMachine(
      ReadRouter router, ReadRequirement requirement, RequestDeadline deadline) {
    this.router = router;
    this.requirement = requirement;
    this.deadline = deadline;
  }

  /**
   * Decides where to send the read.
   *
   * @param view the current view of the database
   * @param load the load of the members
   * @param now the current time in milliseconds
   * @return {@link ReadStep.Send} or {@link ReadStep.Finish}
   */
  public ReadStep next(DatabaseView view, MemberLoad load, long now) {
    if (deadline.passed(now)) {
      return notRun(new Failure.DeadlineExceeded(), WriteStateMachine.RETRY_AFTER_OVERLOAD_MILLIS);
    }
    Optional<Position> lost = requirement.session().filter(view::dropped);
    if (lost.isPresent()) {
      Failure failure = new Failure.SessionBranchLost(view.database().id(), lost.get());
      return new ReadStep.Finish(new Answer.Refused(failure));
    }
    ReadRoute route = router.route(view, requirement, load, tried, now);
    if (route instanceof ReadRoute.ToMember to && attempts < MAX_ATTEMPTS) {
      attempts++;
      currentRoute = Optional.of(to);
      return new ReadStep.Send(to);
    }
    Failure failure =
        route instanceof ReadRoute.Unavailable unavailable
            ? unavailable.failure()
            : new Failure.SessionNotReached();
    return notRun(failure, WriteStateMachine.RETRY_AFTER_PROMOTION_MILLIS);
  }

  /**
   * Processes a member's reply.
   *
   * @param reply the reply
   * @param view the current view of the database
   * @param load the load of the members
   * @param now the current time in milliseconds
   * @return the next step
   */
  public ReadStep onReply(EndpointReply reply, DatabaseView view, MemberLoad load, long now) {
    if (reply instanceof EndpointReply.Done done) {
      pendingReply = Optional.of(done);
      return onViewChanged(view, load, now);
    }
    if (reply instanceof EndpointReply.Refused refused) {
      EndpointRefusal refusal = refused.refusal();
      if (refusal == EndpointRefusal.BAD_STATEMENT || refusal == EndpointRefusal.BAD_CALL) {
        return new ReadStep.Finish(new Answer.Refused(new Failure.BadStatement()));
      }
      if (refusal == EndpointRefusal.UNKNOWN_CONNECTION) {
        return next(view, load, now);
      }
    }
    tried.add(currentRoute.orElseThrow().member());
    return next(view, load, now);
  }

  /**
   * Processes a failure to obtain a connection, before the read was sent.
   *
   * @param failure the reason
   * @param view the current view of the database
   * @param load the load of the members
   * @param now the current time in milliseconds
   * @return another member to send the read to, or the final answer
   */
  public ReadStep onNotSent(Failure failure, DatabaseView view, MemberLoad load, long now) {
    ReadRoute.ToMember route = currentRoute.orElseThrow();
    tried.add(route.member());
    return route.primary()
        ? notRun(failure, WriteStateMachine.RETRY_AFTER_OVERLOAD_MILLIS)
        : next(view, load, now);
  }

  /**
   * Processes a change of the view while the rows are not returned yet.
   *
   * @param view the current view of the database
   * @param load the load of the members
   * @param now the current time in milliseconds
   * @return {@link ReadStep.AwaitDurable} to continue waiting, or the next step
   */
  public ReadStep onViewChanged(DatabaseView view, MemberLoad load, long now) {
    EndpointReply.Done done = pendingReply.orElseThrow();
    if (view.durable(done.position())) {
      return finishIfYoungEnough(done, view, load, now);
    }
    if (view.dropped(done.position()) || deadline.passed(now)) {
      tried.add(currentRoute.orElseThrow().member());
      pendingReply = Optional.empty();
      return next(view, load, now);
    }
    return new ReadStep.AwaitDurable(done.position());
  }

  private ReadStep finishIfYoungEnough(
      EndpointReply.Done done, DatabaseView view, MemberLoad load, long now) {
    ReadRoute.ToMember route = currentRoute.orElseThrow();
    OptionalLong age = OptionalLong.empty();
    if (requirement.maxAgeMillis().isPresent()) {
      age = view.age(done.position(), now);
      boolean youngEnough =
          age.isPresent() && age.getAsLong() <= requirement.maxAgeMillis().getAsLong();
      if (!youngEnough) {
        tried.add(route.member());
        pendingReply = Optional.empty();
        return onTooOld(route, view, load, now);
      }
    }
    return new ReadStep.Finish(
        new Answer.Done(
            done.rows(),
            Optional.of(done.position()),
            false,
            Optional.empty(),
            Optional.empty(),
            age,
            new Answer.ServedBy(route.member(), route.primary(), route.reason())));
  }

  private ReadStep onTooOld(
      ReadRoute.ToMember route, DatabaseView view, MemberLoad load, long now) {
    return route.primary()
        ? notRun(
            new Failure.AgeNotProvable(requirement.maxAgeMillis().getAsLong()),
            WriteStateMachine.RETRY_AFTER_PROMOTION_MILLIS)
        : next(view, load, now);
  }

  private static ReadStep notRun(Failure failure, long retryAfterMillis) {
    return new ReadStep.Finish(new Answer.NotRun(failure, retryAfterMillis));
  }
}
