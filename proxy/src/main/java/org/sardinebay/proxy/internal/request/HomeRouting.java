package org.sardinebay.proxy.internal.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.Answer;
import org.sardinebay.CallerRequest;
import org.sardinebay.Failure;
import org.sardinebay.RequestKind;
import org.sardinebay.internal.request.RequestDeadline;
import org.sardinebay.proxy.internal.process.Forwarder;
import org.sardinebay.proxy.internal.process.PeerSuspicion;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.process.RequestRunner;
import org.sardinebay.proxy.internal.version.Home;

/**
 * Routes one request to a home of its database, which is a proxy that serves the database. Tries
 * the homes in order until one of them gives a final answer.
 *
 * <pre>{@code
 * new HomeRouting(runtime, runner, forwarder, suspicion, request, body, homes).start();
 * }</pre>
 *
 * <p>Retrying is safe: a write carries the same idempotency key in all attempts. After an attempt
 * without an answer, a later not-run is reported as unknown unless the key was revoked, because the
 * unanswered attempt may have run.
 */
public final class HomeRouting {
  private static final long MIN_ATTEMPT_MILLIS = 500;
  private static final int ATTEMPT_DIVISOR = 3;

  /** Failure codes of not-run answers for which any request is retried at the next home. */
  private static final Set<String> RETRYABLE_CODES =
      Set.of("primary-unreachable", "home-unreachable", "shutting-down", "no-configuration");

  /**
   * Failure codes of not-run answers for which only a read is retried at the next home. Retrying a
   * write at an unreachable home would make its outcome unknown, although the first home reported
   * that it was not run.
   */
  private static final Set<String> RETRYABLE_READ_CODES =
      Set.of("no-primary", "majority-unreachable", "age-not-provable", "session-not-reached");

  private final ProxyRuntime runtime;
  private final RequestRunner runner;
  private final Forwarder forwarder;
  private final PeerSuspicion suspicion;
  private final CallerRequest request;
  private final JsonNode body;
  private final Deque<Home> homes;
  private final RequestDeadline deadline;
  private final CompletableFuture<JsonNode> answer = new CompletableFuture<>();
  private Optional<JsonNode> lastNotRun = Optional.empty();
  private boolean inDoubt;

  /**
   * Creates the routing of a request that has not been sent to any home yet.
   *
   * @param runtime the shared services of the proxy
   * @param runner runs requests on this proxy
   * @param forwarder forwards requests to other proxies
   * @param suspicion the proxies that recently did not answer; they are tried last
   * @param request the validated request
   * @param body the request as the caller sent it, with its idempotency key added
   * @param candidates the homes in the order in which to try them
   */
  public HomeRouting(
      ProxyRuntime runtime,
      RequestRunner runner,
      Forwarder forwarder,
      PeerSuspicion suspicion,
      CallerRequest request,
      JsonNode body,
      List<Home> candidates) {
    this.runtime = runtime;
    this.runner = runner;
    this.forwarder = forwarder;
    this.suspicion = suspicion;
    this.request = request;
    this.body = body;
    this.homes = unsuspectedFirst(candidates);
    this.deadline = new RequestDeadline(runtime.clock().millis() + request.timeoutMillis());
  }

  private Deque<Home> unsuspectedFirst(List<Home> candidates) {
    Deque<Home> ordered = new ArrayDeque<>();
    candidates.stream().filter(home -> !suspicion.suspected(home.host())).forEach(ordered::add);
    candidates.stream().filter(home -> suspicion.suspected(home.host())).forEach(ordered::add);
    return ordered;
  }

  /**
   * Starts with the first home.
   *
   * @return completes with the final answer to the caller
   */
  public CompletableFuture<JsonNode> start() {
    next();
    return answer;
  }

  private void next() {
    Home home = homes.pollFirst();
    long remaining = deadline.remaining(runtime.clock().millis());
    if (home == null || remaining == 0) {
      giveUp();
    } else if (home.self()) {
      runLocally(remaining);
    } else {
      forward(home, remaining);
    }
  }

  private void runLocally(long remaining) {
    var unused =
        runner.run(request.withTimeoutMillis(remaining), inDoubt).thenAccept(this::onAnswer);
  }

  private void forward(Home home, long remaining) {
    long attempt = Math.min(remaining, Math.max(MIN_ATTEMPT_MILLIS, remaining / ATTEMPT_DIVISOR));
    var unused =
        forwarder
            .forward(home.peerAddress(), request, body, inDoubt, attempt)
            .thenAccept(result -> onResult(home, result));
  }

  private void onResult(Home home, Forwarder.Result result) {
    if (result instanceof Forwarder.Result.Answered answered) {
      suspicion.clear(home.host());
      onAnswer(answered.json());
      return;
    }
    suspicion.suspect(home.host());
    if (result instanceof Forwarder.Result.NoAnswer) {
      inDoubt = inDoubt || request.kind() != RequestKind.READ;
    }
    retry();
  }

  private void onAnswer(JsonNode json) {
    boolean notRun = json.path("outcome").asText().equals(AnswerWriter.NOT_RUN);
    if (notRun && retryable(json.path("code").asText())) {
      lastNotRun = Optional.of(json);
      retry();
      return;
    }
    boolean outcomeUnknown = notRun && inDoubt && !json.path("code").asText().equals("revoked");
    answer.complete(outcomeUnknown ? unknown() : json);
  }

  private boolean retryable(String code) {
    boolean read = request.kind() == RequestKind.READ;
    return RETRYABLE_CODES.contains(code) || (read && RETRYABLE_READ_CODES.contains(code));
  }

  private void retry() {
    if (homes.isEmpty() || !runtime.retries().tryRetry()) {
      giveUp();
    } else {
      next();
    }
  }

  private void giveUp() {
    if (inDoubt) {
      answer.complete(unknown());
    } else {
      answer.complete(
          lastNotRun.orElseGet(
              () -> runner.notRun(request.requestId(), new Failure.HomeUnreachable())));
    }
  }

  private ObjectNode unknown() {
    Answer unknown = new Answer.Unknown(new Failure.OutcomeUnknown(), request.idempotencyKey());
    return AnswerWriter.write(request.requestId(), unknown, Optional.empty());
  }
}
