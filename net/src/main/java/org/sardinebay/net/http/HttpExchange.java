package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One request and its response. Used only on the client's event loop.
 *
 * <pre>{@code
 * HttpExchange exchange = new HttpExchange(loop, headers);
 * exchange.send(client, request).whenResult(response -> ...);
 * }</pre>
 */
final class HttpExchange {
  /** The largest body that is accepted. */
  static final int MAX_BODY_BYTES = 16 << 20;

  private static final Logger LOG = LoggerFactory.getLogger(HttpExchange.class);

  private final Reactor loop;
  private final List<HttpHeader> readHeaders;
  private final long sentAt;
  private long headAt = -1;
  private int bytes;

  HttpExchange(Reactor loop, List<HttpHeader> readHeaders) {
    this.loop = loop;
    this.readHeaders = readHeaders;
    this.sentAt = loop.currentTimeMillis();
  }

  Promise<HttpCallResult> send(HttpClient client, HttpRequest request) {
    return client.request(request).then(this::readResponse);
  }

  private Promise<HttpCallResult> readResponse(HttpResponse response) {
    headAt = loop.currentTimeMillis();
    int status = response.getCode();
    Map<HttpHeader, String> headers = headers(response);
    return response
        .takeBodyStream()
        .peek(part -> bytes += part.readRemaining())
        .toCollector(ByteBufs.collector(MAX_BODY_BYTES))
        .map(body -> decode(status, body, headers));
  }

  private Map<HttpHeader, String> headers(HttpResponse response) {
    Map<HttpHeader, String> headers = new HashMap<>();
    for (HttpHeader header : readHeaders) {
      String value = response.getHeader(header);
      if (value != null) {
        headers.put(header, value);
      }
    }
    return headers;
  }

  private HttpCallResult decode(int status, ByteBuf body, Map<HttpHeader, String> headers) {
    long bodyMillis = loop.currentTimeMillis() - headAt;
    // Copies the body: the buffer goes back to the pool.
    JsonNode tree = Json.parseWithinLimits(body.asArray()).orElse(MissingNode.getInstance());
    return new HttpCallResult.Response(
        status, tree, headers, new HttpCallResult.Transfer(bytes, headAt - sentAt, bodyMillis));
  }

  /**
   * Returns the result of an exchange that failed, or was given up.
   *
   * @param e the reason
   * @return whether the request may have been sent
   */
  HttpCallResult failure(Exception e) {
    for (Throwable cause = e; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return new HttpCallResult.NotSent();
      }
    }
    if (headAt >= 0) {
      LOG.atWarn()
          .setMessage("response_incomplete")
          .addKeyValue("bytes", bytes)
          .addKeyValue("head_millis", headAt - sentAt)
          .addKeyValue("body_millis", loop.currentTimeMillis() - headAt)
          .log();
    }
    return new HttpCallResult.NoResponse();
  }
}
