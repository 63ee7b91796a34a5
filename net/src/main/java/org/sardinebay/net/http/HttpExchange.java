package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.activej.async.exception.AsyncTimeoutException;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One request and its response. Used only on the client's event loop.
 *
 * <pre>{@code
 * HttpExchange exchange = new HttpExchange(loop, headers);
 * exchange.sendExpectingProgress(client, request, 2_000).whenResult(response -> ...);
 * }</pre>
 */
final class HttpExchange {
  /** The largest body that is accepted. */
  static final int MAX_BODY_BYTES = 16 << 20;

  private static final Logger LOG = LoggerFactory.getLogger(HttpExchange.class);

  /**
   * How much of a body must arrive within two checks, in bytes: far less than a crowded link
   * carries, but more than a server that hardly makes progress sends.
   */
  private static final int MIN_PROGRESS_BYTES = 16 << 10;

  /**
   * Time between two checks of a body's progress, in milliseconds. The first one without progress
   * does not count, because an event loop that runs late has not read what has arrived.
   */
  private static final long PROGRESS_CHECK_MILLIS = 500;

  private final Reactor loop;
  private final List<HttpHeader> readHeaders;
  private final long sentAt;
  private long headAt = -1;
  private int bytes;
  private boolean ended;

  HttpExchange(Reactor loop, List<HttpHeader> readHeaders) {
    this.loop = loop;
    this.readHeaders = readHeaders;
    this.sentAt = loop.currentTimeMillis();
  }

  /** Sends the request; the response may take any time. */
  Promise<HttpCallResult> send(HttpClient client, HttpRequest request) {
    return client.request(request).then(response -> read(response, body -> {}));
  }

  /**
   * Sends the request. Ends the exchange if the response does not begin in time, or its body makes
   * no progress: the rest of it is not received.
   *
   * @param client the client
   * @param request the request
   * @param headTimeoutMillis the timeout for the head of the response, in milliseconds
   * @return the response
   */
  Promise<HttpCallResult> sendExpectingProgress(
      HttpClient client, HttpRequest request, long headTimeoutMillis) {
    SettablePromise<HttpResponse> head = new SettablePromise<>();
    ScheduledRunnable timeout =
        loop.delay(
            headTimeoutMillis,
            () -> head.trySetException(new AsyncTimeoutException("no response in time")));
    client
        .request(request)
        .whenComplete(
            (response, e) -> {
              timeout.cancel();
              if (e != null) {
                head.trySetException(e);
              } else if (!head.trySet(response)) {
                response
                    .takeBodyStream()
                    .closeEx(new AsyncTimeoutException("the response came too late"));
              }
            });
    return head.then(response -> read(response, body -> checkProgress(body, bytes, false)));
  }

  private Promise<HttpCallResult> read(
      HttpResponse response, Consumer<ChannelSupplier<ByteBuf>> whileReading) {
    headAt = loop.currentTimeMillis();
    int status = response.getCode();
    Map<HttpHeader, String> headers = headers(response);
    ChannelSupplier<ByteBuf> body =
        response.takeBodyStream().peek(part -> bytes += part.readRemaining());
    Promise<HttpCallResult> result =
        body.toCollector(ByteBufs.collector(MAX_BODY_BYTES))
            .map(received -> decode(status, received, headers))
            .whenComplete(() -> ended = true);
    whileReading.accept(body);
    return result;
  }

  /**
   * Closes the body, and with it the connection, after two checks in a row without progress.
   *
   * @param body the body that is read
   * @param since the number of bytes received when progress was last seen
   * @param stalled whether the previous check saw no progress
   */
  private void checkProgress(ChannelSupplier<ByteBuf> body, int since, boolean stalled) {
    if (ended) {
      return;
    }
    loop.delay(
        PROGRESS_CHECK_MILLIS,
        () -> {
          if (bytes - since >= MIN_PROGRESS_BYTES) {
            checkProgress(body, bytes, false);
          } else if (!stalled) {
            checkProgress(body, since, true);
          } else if (!ended) {
            body.closeEx(new AsyncTimeoutException("the body makes no progress"));
          }
        });
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
