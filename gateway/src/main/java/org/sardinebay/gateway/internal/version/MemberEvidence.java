package org.sardinebay.gateway.internal.version;

import java.util.function.ToLongFunction;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.MemberAnswer;
import org.sardinebay.internal.request.ReadHedging;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.MembersPerformance;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.internal.version.StatementClass;
import org.sardinebay.session.ErrorCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes what the answers of a service's members tell to the service view and to {@link
 * MembersPerformance}, and logs when a member is set aside or used again.
 *
 * <pre>{@code
 * evidence.onAnswered(member, statementClass, answer);
 * evidence.onFailed(member);
 * }</pre>
 */
public final class MemberEvidence {
  private static final Logger LOG = LoggerFactory.getLogger(MemberEvidence.class);

  private final String service;
  private final ServiceView view;
  private final ToLongFunction<MemberView> roundTripMillis;
  private final Clock clock;
  private final MembersPerformance performance = new MembersPerformance();

  /**
   * Creates an instance without evidence.
   *
   * @param service the service's name, for the log
   * @param view what this host knows of the service
   * @param roundTripMillis the round-trip time to a member, in milliseconds
   * @param clock the clock
   */
  MemberEvidence(
      String service, ServiceView view, ToLongFunction<MemberView> roundTripMillis, Clock clock) {
    this.service = service;
    this.view = view;
    this.roundTripMillis = roundTripMillis;
    this.clock = clock;
  }

  /** Returns the members' speed and errors. */
  MembersPerformance performance() {
    return performance;
  }

  /** Forgets a member, because it has left or has started again. */
  void remove(MemberId member) {
    performance.remove(member);
  }

  /**
   * Records a member's successful answer to a statement.
   *
   * @param member the member
   * @param statements the class of the statement
   * @param answer the answer
   */
  public void onAnswered(MemberId member, StatementClass statements, MemberAnswer.Complete answer) {
    long durationMillis = clock.millis() - answer.sentAt();
    long atMember = Math.max(0, durationMillis - roundTripMillis(member));
    log(member, performance.onAnswered(member, statements, atMember, clock.millis()));
    onApplied(member, answer);
  }

  /**
   * Records that a member failed a statement, or that its answer was lost.
   *
   * @param member the member
   */
  public void onFailed(MemberId member) {
    log(member, performance.onFailed(member, view.members().size(), clock.millis()));
  }

  /**
   * Records the position that an answer reports.
   *
   * @param member the member
   * @param answer the answer
   */
  public void onApplied(MemberId member, MemberAnswer.Complete answer) {
    answer
        .ready()
        .position()
        .ifPresent(applied -> view.onApplied(member, applied, answer.sentAt(), clock.millis()));
  }

  /**
   * Records that a replica lags, and how far it is, if an answer says so.
   *
   * @param member the member
   * @param answer the answer
   */
  public void onPossibleLag(MemberId member, MemberAnswer answer) {
    if (answer instanceof MemberAnswer.Complete complete
        && complete.failure().filter(f -> f.code() == ErrorCode.LAGGING).isPresent()) {
      onApplied(member, complete);
      view.member(member).ifPresent(replica -> replica.lagged(clock.millis()));
    }
  }

  /**
   * Returns how long a read may stay unanswered before it is sent to a second member.
   *
   * @param member the member that it was sent to
   * @param statements the class of the read
   * @return the time in milliseconds
   */
  public long hedgeDelayMillis(MemberId member, StatementClass statements) {
    return ReadHedging.delayMillis(
        performance.usualMillis(statements, clock.millis()), roundTripMillis(member));
  }

  private long roundTripMillis(MemberId member) {
    return view.member(member).map(roundTripMillis::applyAsLong).orElse(0L);
  }

  private void log(MemberId member, MembersPerformance.Change change) {
    if (change != MembersPerformance.Change.NONE) {
      LOG.atWarn()
          .setMessage(
              change == MembersPerformance.Change.SET_ASIDE
                  ? "member_set_aside"
                  : "member_returned")
          .addKeyValue("service", service)
          .addKeyValue("member", member.value())
          .addKeyValue("error_share", performance.errorShare(member, clock.millis()))
          .log();
    }
  }
}
