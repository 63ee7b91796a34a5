package org.sardinebay.gateway.internal.request;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.version.PlacementSnapshot;
import org.sardinebay.internal.request.AttemptOutcome;
import org.sardinebay.internal.request.PlacementRequirement;
import org.sardinebay.internal.request.WaitEstimate;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.RouteKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the outcomes of statements. Every failure and every failed attempt is logged, and
 * one success in {@link #SUCCESS_SAMPLE_INTERVAL}.
 */
public final class StatementLog {
  private static final Logger LOG = LoggerFactory.getLogger(StatementLog.class);

  /**
   * One in this many successes is logged, which limits the volume at full load to a few lines per
   * second.
   */
  private static final int SUCCESS_SAMPLE_INTERVAL = 200;

  private final Clock clock;
  private final MeterRegistry registry;
  private final Map<FailureKey, Counter> failures = new HashMap<>();
  private final Map<String, Counter> attempts = new HashMap<>();
  private final Map<RouteKind, Timer> successes = new HashMap<>();
  private final Timer placementWait;
  private final Timer memberDuration;
  private final Timer waitedLonger;
  private final Timer waitedShorter;
  private long successCount;

  /**
   * Creates a log.
   *
   * @param clock the clock
   * @param registry the registry of the counters and timers
   */
  public StatementLog(Clock clock, MeterRegistry registry) {
    this.clock = clock;
    this.registry = registry;
    this.placementWait = timer("sardinebay_statement_wait_duration");
    this.memberDuration = timer("sardinebay_statement_member_duration");
    String estimateError = "sardinebay_statement_wait_estimate_error";
    this.waitedLonger = timer(estimateError, "waited", "longer");
    this.waitedShorter = timer(estimateError, "waited", "shorter");
  }

  private record FailureKey(RouteKind kind, ErrorCode code) {}

  /** Records how long a statement waited to be placed on a member, and what was expected. */
  void recordPlaced(long waitedMillis, OptionalLong expectedMillis) {
    placementWait.record(Duration.ofMillis(waitedMillis));
    recordEstimate(waitedMillis, expectedMillis);
  }

  /** Records by how much the estimate of a wait was wrong, if there was one. */
  void recordEstimate(long waitedMillis, OptionalLong expectedMillis) {
    if (expectedMillis.isPresent()) {
      long error = waitedMillis - expectedMillis.getAsLong();
      (error >= 0 ? waitedLonger : waitedShorter).record(Duration.ofMillis(Math.abs(error)));
    }
  }

  void rejected(
      StatementRequest request,
      DatabaseRoute route,
      WaitEstimate.Expected<PlacementRequest> expected,
      long retryAfterMillis,
      boolean onArrival) {
    LOG.atInfo()
        .setMessage(onArrival ? "statement_rejected_on_arrival" : "statement_rejected_waiting")
        .addKeyValue("request", request.id())
        .addKeyValue("database", route.database())
        .addKeyValue("service", route.service())
        .addKeyValue("workspace", request.workspace().map(WorkspaceId::value).orElse("-"))
        .addKeyValue("priority", route.priority())
        .addKeyValue("expected_millis", expected.waitMillis().orElse(-1))
        .addKeyValue("elapsed_millis", clock.millis() - request.arrivedAt())
        .addKeyValue("retry_millis", retryAfterMillis)
        .log();
  }

  /** Records the time from sending a statement to a member until its answer. */
  void recordMemberDuration(long durationMillis) {
    memberDuration.record(Duration.ofMillis(durationMillis));
  }

  private void countAttempt(String outcome) {
    attempts
        .computeIfAbsent(
            outcome,
            label -> registry.counter("sardinebay_statement_attempts_failed", "outcome", label))
        .increment();
  }

  private static String outcomeLabel(AttemptOutcome outcome) {
    return outcome instanceof AttemptOutcome.Refused refused
        ? refused.code().name()
        : outcome.getClass().getSimpleName();
  }

  void attemptFailed(
      StatementRequest request,
      DatabaseRoute route,
      MemberId member,
      int attempt,
      AttemptOutcome outcome) {
    countAttempt(outcomeLabel(outcome));
    LOG.atInfo()
        .setMessage("attempt_failed")
        .addKeyValue("request", request.id())
        .addKeyValue("database", route.database())
        .addKeyValue("member", member.value())
        .addKeyValue("attempt", attempt)
        .addKeyValue("writes", request.writes() || request.commits())
        .addKeyValue("outcome", outcome)
        .log();
  }

  void readSentAgain(StatementRequest request, MemberId overdue, long afterMillis) {
    registry.counter("sardinebay_reads_sent_again").increment();
    LOG.atInfo()
        .setMessage("read_sent_again")
        .addKeyValue("request", request.id())
        .addKeyValue("overdue", overdue.value())
        .addKeyValue("after_millis", afterMillis)
        .log();
  }

  void placementFailed(
      StatementRequest request,
      DatabaseRoute route,
      PlacementRequirement requirement,
      PlacementSnapshot snapshot) {
    LOG.atInfo()
        .setMessage("place_not_found")
        .addKeyValue("request", request.id())
        .addKeyValue("service", route.service())
        .addKeyValue("needs", requirement.primaryOnly() ? "primary" : "any")
        .addKeyValue("least", requirement.minimumPosition().map(Object::toString).orElse("-"))
        .addKeyValue("primary", snapshot.primary())
        .addKeyValue("lease_millis", snapshot.leaseMillis())
        .addKeyValue("unusable_millis", snapshot.millisWithoutPrimary())
        .addKeyValue("waiting", snapshot.waiting())
        .addKeyValue("reachable_members", snapshot.reachableMembers())
        .addKeyValue("members", snapshot.members())
        .log();
  }

  void forwardFailed(
      StatementRequest request, DatabaseRoute route, HostId home, int attempt, PeerResult result) {
    countAttempt("home " + outcomeLabel(result));
    LOG.atInfo()
        .setMessage("forward_failed")
        .addKeyValue("request", request.id())
        .addKeyValue("database", route.database())
        .addKeyValue("home", home)
        .addKeyValue("attempt", attempt)
        .addKeyValue("writes", request.writes() || request.commits())
        .addKeyValue("outcome", outcomeLabel(result))
        .log();
  }

  private static String outcomeLabel(PeerResult result) {
    if (result instanceof PeerResult.NotSent) {
      return "not sent";
    }
    return result instanceof PeerResult.NoReply ? "no reply" : "not accepted";
  }

  void statementEnded(
      StatementRequest request,
      DatabaseRoute route,
      int attempts,
      long startedAt,
      SessionReply reply) {
    long elapsedMillis = clock.millis() - startedAt;
    if (reply instanceof SessionReply.Failure failure) {
      failures
          .computeIfAbsent(new FailureKey(route.kind(), failure.code()), this::failureCounter)
          .increment();
      LOG.atInfo()
          .setMessage("statement_failed")
          .addKeyValue("request", request.id())
          .addKeyValue("database", route.database())
          .addKeyValue("service", route.service())
          .addKeyValue("workspace", request.workspace().map(WorkspaceId::value).orElse("-"))
          .addKeyValue("kind", route.kind())
          .addKeyValue("attempts", attempts)
          .addKeyValue("millis", elapsedMillis)
          .addKeyValue("code", failure.code())
          .addKeyValue("text", failure.text())
          .log();
      return;
    }
    successes.computeIfAbsent(route.kind(), this::timer).record(Duration.ofMillis(elapsedMillis));
    if (successCount++ % SUCCESS_SAMPLE_INTERVAL == 0) {
      LOG.atInfo()
          .setMessage("statement_done")
          .addKeyValue("request", request.id())
          .addKeyValue("database", route.database())
          .addKeyValue("kind", route.kind())
          .addKeyValue("attempts", attempts)
          .addKeyValue("millis", elapsedMillis)
          .addKeyValue("sampled", SUCCESS_SAMPLE_INTERVAL)
          .log();
    }
  }

  private Counter failureCounter(FailureKey key) {
    return registry.counter(
        "sardinebay_statements_failed", "kind", key.kind().name(), "code", key.code().name());
  }

  private Timer timer(RouteKind kind) {
    return timer("sardinebay_statement_duration", "kind", kind.name());
  }

  private Timer timer(String name, String... tags) {
    return Timer.builder(name)
        .tags(tags)
        .serviceLevelObjectives(
            Duration.ofMillis(5),
            Duration.ofMillis(50),
            Duration.ofMillis(200),
            Duration.ofMillis(500),
            Duration.ofMillis(1_000))
        .register(registry);
  }
}
