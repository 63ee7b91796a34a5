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

/** Sends the requests of one session to proxies and maintains the session token. */
final class CallerClient {
  /** How long the client waits for a response beyond the timeout in the request. */
  private static final long RESPONSE_MARGIN_MILLIS = 1_000;

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

  /** Sends a request asynchronously. The session token is updated when the response arrives. */
  CompletableFuture<Attempt> send(String proxy, CallRequest request, long timeoutMillis) {
    ObjectNode body = request.body(caller, currentToken(), timeoutMillis);
    long sentMillis = clock.millis();
    return http.call(
            HttpMethod.POST,
            proxies.get(proxy),
            REQUESTS,
            Optional.of(body),
            timeoutMillis + RESPONSE_MARGIN_MILLIS)
        .thenApply(result -> toAttempt(proxy, request, sentMillis, result));
  }

  synchronized void discardToken() {
    token = Optional.empty();
  }

  private synchronized Optional<String> currentToken() {
    return token;
  }

  private synchronized void storeToken(String newToken) {
    token = Optional.of(newToken);
  }

  private Attempt toAttempt(
      String proxy, CallRequest request, long sentMillis, HttpCallResult result) {
    JsonNode body =
        result instanceof HttpCallResult.Response response
            ? response.body()
            : MissingNode.getInstance();
    Outcome outcome = OUTCOMES.getOrDefault(body.path("outcome").asText(), Outcome.NO_ANSWER);
    if (result instanceof HttpCallResult.NotSent) {
      outcome = Outcome.NOT_RUN;
    }
    if (outcome == Outcome.DONE && body.hasNonNull("sessionToken")) {
      storeToken(body.path("sessionToken").asText());
    }
    return new Attempt(
        request.kind(),
        request.database(),
        proxy,
        sentMillis,
        clock.millis(),
        outcome,
        toDetails(body));
  }

  private static Attempt.Details toDetails(JsonNode body) {
    if (body.isMissingNode()) {
      return Attempt.Details.NONE;
    }
    List<String> rows = new ArrayList<>();
    body.path("rows").forEach(row -> rows.add(row.asText()));
    JsonNode position = body.path("position");
    JsonNode servedBy = body.path("servedBy");
    return new Attempt.Details(
        body.path("code").asText(),
        List.copyOf(rows),
        position.isObject()
            ? Optional.of(
                new Position(position.path("term").asLong(), position.path("index").asLong()))
            : Optional.empty(),
        body.path("replay").asBoolean(),
        text(body, "transaction"),
        text(body, "idempotencyKey"),
        new Attempt.ServedBy(
            servedBy.path("member").asText(),
            servedBy.path("role").asText(),
            servedBy.path("reason").asText()),
        body.path("retryAfterMillis").asLong());
  }

  private static Optional<String> text(JsonNode node, String field) {
    return node.hasNonNull(field) ? Optional.of(node.path(field).asText()) : Optional.empty();
  }
}
