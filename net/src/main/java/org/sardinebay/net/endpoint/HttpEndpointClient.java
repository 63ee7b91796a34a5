package org.sardinebay.net.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.sardinebay.Address;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointClient;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;

/**
 * A client of endpoints that sends calls as JSON over HTTP.
 *
 * <pre>{@code
 * EndpointClient client = new HttpEndpointClient(http, AddressTranslation.none());
 * client.call(member, new EndpointCall.Open("proxy-1"), 500).thenAccept(reply -> ...);
 * }</pre>
 *
 * <p>Each call carries a unique correlation ID. A reply with the ID of another call is reported as
 * {@link EndpointReply.Crossed}, an invalid reply as {@link EndpointReply.NoReply}.
 */
public final class HttpEndpointClient implements EndpointClient {
  private static final String CORRELATION = "correlation";

  private final JsonHttpClient http;
  private final AddressTranslation translation;
  private final String correlationPrefix = UUID.randomUUID() + "-";
  private final AtomicLong calls = new AtomicLong();

  /**
   * Creates a client.
   *
   * @param http the HTTP client
   * @param translation the address translation of this host
   */
  public HttpEndpointClient(JsonHttpClient http, AddressTranslation translation) {
    this.http = http;
    this.translation = translation;
  }

  @Override
  public CompletableFuture<EndpointReply> call(
      Address member, EndpointCall call, long timeoutMillis) {
    String correlation = correlationPrefix + calls.incrementAndGet();
    ObjectNode body = CallEncoder.encode(call);
    body.put(CORRELATION, correlation).put("member", "");
    return http.call(
            HttpMethod.POST,
            translation.translate(member),
            CallEncoder.path(call),
            Optional.of(body),
            timeoutMillis)
        .thenApply(result -> reply(call, correlation, result));
  }

  private static EndpointReply reply(EndpointCall call, String correlation, HttpCallResult result) {
    if (result instanceof HttpCallResult.NotSent) {
      return new EndpointReply.NotSent();
    }
    if (result instanceof HttpCallResult.Response response
        && response.status() == HttpServerResponse.OK) {
      boolean complete = !Json.hasMissing(response.body());
      return reply(call, correlation, complete ? response.body() : MissingNode.getInstance());
    }
    return new EndpointReply.NoReply();
  }

  private static EndpointReply reply(EndpointCall call, String correlation, JsonNode body) {
    JsonNode echoed = body.path(CORRELATION);
    if (echoed.isTextual() && !echoed.textValue().equals(correlation)) {
      return new EndpointReply.Crossed();
    }
    if (!echoed.isTextual()) {
      return new EndpointReply.NoReply();
    }
    return ReplyDecoder.decode(call, body).orElseGet(EndpointReply.NoReply::new);
  }
}
