package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.Position;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.JsonHttpClient;

/** Sends requests of one session to proxies, and carries the session's token. */
final class CallerClient {
  /** How long the caller waits beyond the time that it gave the proxy. */
  private static final long PATIENCE_MILLIS = 1_000;

  private static final String REQUESTS = "/v1/requests";
  private static final Map<String, Outcome> OUTCOMES =
      Map.of(
          "done", Outcome.DONE,
          "not-run", Outcome.NOT_RUN,
          "refused", Outcome.REFUSED,
          "unknown", Outcome.UNKNOWN);

  private final String caller;
  private final Map<String, Address> proxies;
  private final JsonHttpClient http;
  private final Clock clock;
  private Optional<String> token = Optional.empty();

  CallerClient(String caller, Map<String, Address> proxies, JsonHttpClient http, Clock clock) {
    this.caller = caller;
    this.proxies = proxies;
    this.http = http;
    this.clock = clock;
  }

  Attempt call(String proxy, CallRequest request, long timeoutMillis) {
    return send(proxy, request, timeoutMillis).join();
  }

  /** Sends a request without waiting. The token moves on when the answer arrives. */
  CompletableFuture<Attempt> send(String proxy, CallRequest request, long timeoutMillis) {
    ObjectNode body = request.body(caller, currentToken(), timeoutMillis);
    long sentMillis = clock.millis();
    return http.call(
            HttpMethod.POST,
            proxies.get(proxy),
            REQUESTS,
            Optional.of(body),
            timeoutMillis + PATIENCE_MILLIS)
        .thenApply(result -> attempt(proxy, request, sentMillis, result));
  }

  synchronized void forgetToken() {
    token = Optional.empty();
  }

  private synchronized Optional<String> currentToken() {
    return token;
  }

  private synchronized void adopt(String newToken) {
    token = Optional.of(newToken);
  }

  private Attempt attempt(
      String proxy, CallRequest request, long sentMillis, HttpCallResult result) {
    JsonNode answer =
        result instanceof HttpCallResult.Response response
            ? response.body()
            : MissingNode.getInstance();
    Outcome outcome = OUTCOMES.getOrDefault(answer.path("outcome").asText(), Outcome.NO_ANSWER);
    if (result instanceof HttpCallResult.NotSent) {
      outcome = Outcome.NOT_RUN;
    }
    if (outcome == Outcome.DONE && answer.hasNonNull("sessionToken")) {
      adopt(answer.path("sessionToken").asText());
    }
    return new Attempt(
        request.kind(),
        request.database(),
        proxy,
        sentMillis,
        clock.millis(),
        outcome,
        details(answer));
  }

  private static Attempt.Details details(JsonNode answer) {
    if (answer.isMissingNode()) {
      return Attempt.Details.NONE;
    }
    List<String> rows = new ArrayList<>();
    answer.path("rows").forEach(row -> rows.add(row.asText()));
    JsonNode position = answer.path("position");
    JsonNode servedBy = answer.path("servedBy");
    return new Attempt.Details(
        answer.path("code").asText(),
        List.copyOf(rows),
        position.isObject()
            ? Optional.of(
                new Position(position.path("term").asLong(), position.path("index").asLong()))
            : Optional.empty(),
        answer.path("replay").asBoolean(),
        text(answer, "transaction"),
        text(answer, "idempotencyKey"),
        new Attempt.ServedBy(
            servedBy.path("member").asText(),
            servedBy.path("role").asText(),
            servedBy.path("reason").asText()),
        answer.path("retryAfterMillis").asLong());
  }

  private static Optional<String> text(JsonNode node, String field) {
    return node.hasNonNull(field) ? Optional.of(node.path(field).asText()) : Optional.empty();
  }
}
