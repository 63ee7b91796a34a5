package org.sardinebay.gateway.internal.request;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.internal.request.AttemptOutcome;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.RouteKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts what becomes of statements. Every failure and every repeated attempt gets its
 * line; of the ordinary successes one in {@link #SAMPLED_SUCCESSES}.
 */
public final class StatementLog {
  private static final Logger LOG = LoggerFactory.getLogger(StatementLog.class);

  /** One success in so many is logged: bounds the volume at full load to some lines a second. */
  private static final int SAMPLED_SUCCESSES = 200;

  private final Clock clock;
  private final MeterRegistry registry;
  private final Map<String, Counter> failures = new HashMap<>();
  private final Map<RouteKind, Timer> successes = new HashMap<>();
  private final Counter retries;
  private long sampled;

  /**
   * A log.
   *
   * @param clock the clock
   * @param registry where to count
   */
  public StatementLog(Clock clock, MeterRegistry registry) {
    this.clock = clock;
    this.registry = registry;
    this.retries = registry.counter("sardinebay_statement_attempts_failed");
  }

  void attemptFailed(
      StatementRequest request,
      DatabaseRoute route,
      MemberId member,
      int attempt,
      AttemptOutcome outcome) {
    retries.increment();
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

  void forwardFailed(
      StatementRequest request, DatabaseRoute route, HostId home, int attempt, PeerResult result) {
    retries.increment();
    LOG.atInfo()
        .setMessage("forward_failed")
        .addKeyValue("request", request.id())
        .addKeyValue("database", route.database())
        .addKeyValue("home", home)
        .addKeyValue("attempt", attempt)
        .addKeyValue("writes", request.writes() || request.commits())
        .addKeyValue("outcome", outcome(result))
        .log();
  }

  private static String outcome(PeerResult result) {
    if (result instanceof PeerResult.NotSent) {
      return "not sent";
    }
    return result instanceof PeerResult.NoReply ? "no reply" : "not accepted";
  }

  void ended(
      StatementRequest request,
      DatabaseRoute route,
      int attempts,
      long startedAt,
      SessionReply reply) {
    long took = clock.millis() - startedAt;
    if (reply instanceof SessionReply.Failure failure) {
      failures
          .computeIfAbsent(
              failure.code().name(),
              code -> registry.counter("sardinebay_statements_failed", "code", code))
          .increment();
      LOG.atInfo()
          .setMessage("statement_failed")
          .addKeyValue("request", request.id())
          .addKeyValue("database", route.database())
          .addKeyValue("service", route.service())
          .addKeyValue("kind", route.kind())
          .addKeyValue("attempts", attempts)
          .addKeyValue("millis", took)
          .addKeyValue("code", failure.code())
          .addKeyValue("text", failure.text())
          .log();
      return;
    }
    successes.computeIfAbsent(route.kind(), this::timer).record(Duration.ofMillis(took));
    if (sampled++ % SAMPLED_SUCCESSES == 0) {
      LOG.atInfo()
          .setMessage("statement_done")
          .addKeyValue("request", request.id())
          .addKeyValue("database", route.database())
          .addKeyValue("kind", route.kind())
          .addKeyValue("attempts", attempts)
          .addKeyValue("millis", took)
          .addKeyValue("sampled", SAMPLED_SUCCESSES)
          .log();
    }
  }

  private Timer timer(RouteKind kind) {
    return Timer.builder("sardinebay_statement_duration")
        .tag("kind", kind.name())
        .serviceLevelObjectives(
            Duration.ofMillis(50),
            Duration.ofMillis(200),
            Duration.ofMillis(500),
            Duration.ofMillis(1_000))
        .register(registry);
  }
}
