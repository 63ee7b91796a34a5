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
 * Brings one request to a home of its database: tries the homes in order until one gives a final
 * answer.
 *
 * <pre>{@code
 * new RouteFlow(runtime, runner, forwarder, suspicion, request, body, homes).start();
 * }</pre>
 *
 * <p>Trying again is safe: a write carries one idempotency key through all attempts. Once an
 * attempt stayed without an answer, a later not-run is told as unknown unless the key was revoked.
 */
public final class HomeRouting {
  private static final long MIN_ATTEMPT_MILLIS = 500;
  private static final int ATTEMPT_SHARE = 3;

  /** Answers to any request that another home may better. */
  private static final Set<String> WORTH_ANOTHER_HOME =
      Set.of("primary-unreachable", "home-unreachable", "shutting-down", "no-configuration");

  /**
   * Answers to reads that another home may better. A write would be put in doubt by a home that
   * can't be reached, where the first one could say that it was not run.
   */
  private static final Set<String> READS_WORTH_ANOTHER_HOME =
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
   * A request that has not been tried.
   *
   * @param runtime the proxy
   * @param runner runs requests here
   * @param forwarder hands requests to other proxies
   * @param suspicion which proxies lately did not answer
   * @param request the request
   * @param body the request as the caller sent it, with its idempotency key
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
    this.homes = trustedFirst(candidates);
    this.deadline = new RequestDeadline(runtime.clock().millis() + request.timeoutMillis());
  }

  private Deque<Home> trustedFirst(List<Home> candidates) {
    Deque<Home> ordered = new ArrayDeque<>();
    candidates.stream().filter(home -> !suspicion.suspected(home.host())).forEach(ordered::add);
    candidates.stream().filter(home -> suspicion.suspected(home.host())).forEach(ordered::add);
    return ordered;
  }

  /**
   * Tries the homes.
   *
   * @return the final answer as the caller sees it
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
      runHere(remaining);
    } else {
      forward(home, remaining);
    }
  }

  private void runHere(long remaining) {
    var unused =
        runner.run(request.withTimeoutMillis(remaining), inDoubt).thenAccept(this::onAnswer);
  }

  private void forward(Home home, long remaining) {
    long attempt = Math.min(remaining, Math.max(MIN_ATTEMPT_MILLIS, remaining / ATTEMPT_SHARE));
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
    if (notRun && worthAnotherHome(json.path("code").asText())) {
      lastNotRun = Optional.of(json);
      retry();
      return;
    }
    boolean doubtful = notRun && inDoubt && !json.path("code").asText().equals("revoked");
    answer.complete(doubtful ? unknown() : json);
  }

  private boolean worthAnotherHome(String code) {
    boolean read = request.kind() == RequestKind.READ;
    return WORTH_ANOTHER_HOME.contains(code) || (read && READS_WORTH_ANOTHER_HOME.contains(code));
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
