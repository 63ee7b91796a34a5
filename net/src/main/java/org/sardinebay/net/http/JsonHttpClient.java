package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.net.SocketSettings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.sardinebay.Address;

/**
 * A client of JSON services over HTTP/1.1, using one or more event loops.
 *
 * <pre>{@code
 * JsonHttpClient client = JsonHttpClient.start("endpoints", 2);
 * client.call(HttpMethod.POST, address, "/v1/progress", Optional.of(body), 500)
 *     .thenAccept(result -> ...);
 * }</pre>
 */
public final class JsonHttpClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(65);
  private static final Duration KEEP_ALIVE = Duration.ofSeconds(20);

  /**
   * How long an idle connection is kept for calls that wait. A call after a longer pause opens a
   * new one, because the old one may have gone silent meanwhile.
   */
  private static final Duration WAITING_KEEP_ALIVE = Duration.ofSeconds(1);

  private final List<Eventloop> loops;
  private final List<HttpClient> clients;
  private final List<HttpHeader> readHeaders;
  private final AtomicInteger next = new AtomicInteger();

  private JsonHttpClient(
      List<Eventloop> loops, List<HttpClient> clients, List<HttpHeader> readHeaders) {
    this.loops = loops;
    this.clients = clients;
    this.readHeaders = readHeaders;
  }

  /**
   * Starts a client.
   *
   * @param name the prefix of the names of the client's threads
   * @param workers the number of event loops
   * @return the running client
   */
  public static JsonHttpClient start(String name, int workers) {
    List<Eventloop> loops = new ArrayList<>();
    List<HttpClient> clients = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      Eventloop loop = JsonHttpServer.startLoop(name + "-" + i);
      loops.add(loop);
      clients.add(
          HttpClient.builder(loop, new IpAddressResolver())
              .withConnectTimeout(CONNECT_TIMEOUT)
              .withReadWriteTimeout(READ_WRITE_TIMEOUT)
              .withKeepAliveTimeout(KEEP_ALIVE)
              .withMaxBodySize(HttpExchange.MAX_BODY_BYTES)
              .build());
    }
    return new JsonHttpClient(loops, clients, List.of());
  }

  /**
   * Creates a client on an event loop that the caller runs. Abandoned connections are reset instead
   * of closed, so that a request delayed in the network can't arrive later.
   *
   * @param loop the event loop; results are completed on its thread
   * @param readWriteTimeout the maximum time without data during a request
   * @return the client
   */
  public static JsonHttpClient onEventLoop(Eventloop loop, Duration readWriteTimeout) {
    return on(loop, builder(loop, readWriteTimeout).build());
  }

  /**
   * Creates a client like {@link #onEventLoop} for calls that wait for long: the kernel probes its
   * connections, so that a call whose server's host is gone fails within some two seconds. Not for
   * calls that change something, as a probe may stay unanswered on a crowded link.
   *
   * @param loop the event loop; results are completed on its thread
   * @param readWriteTimeout the maximum time without data during a request
   * @return the client
   */
  public static JsonHttpClient probingOnEventLoop(Eventloop loop, Duration readWriteTimeout) {
    return on(
        loop,
        builder(loop, readWriteTimeout)
            .withKeepAliveTimeout(WAITING_KEEP_ALIVE)
            .withSocketInspector(new KeepAliveProbes())
            .build());
  }

  private static JsonHttpClient on(Eventloop loop, HttpClient client) {
    return new JsonHttpClient(List.of(loop), List.of(client), List.of());
  }

  private static HttpClient.Builder builder(Eventloop loop, Duration readWriteTimeout) {
    return HttpClient.builder(loop, new IpAddressResolver())
        .withSocketSettings(SocketSettings.builder().withLingerTimeout(Duration.ZERO).build())
        .withConnectTimeout(CONNECT_TIMEOUT)
        .withReadWriteTimeout(readWriteTimeout)
        .withKeepAliveTimeout(KEEP_ALIVE)
        .withMaxBodySize(HttpExchange.MAX_BODY_BYTES);
  }

  /**
   * Returns a client that uses the same connections and also reads headers of the responses.
   *
   * @param headers the headers to read
   * @return the client
   */
  public JsonHttpClient readingHeaders(HttpHeader... headers) {
    return new JsonHttpClient(loops, clients, List.of(headers));
  }

  /**
   * Sends one request.
   *
   * @param method the HTTP method
   * @param address the server
   * @param pathAndQuery the path and the optional query
   * @param body the JSON body, if any
   * @param timeoutMillis the timeout for the whole exchange, connecting included
   * @return the result; never completes with an exception
   */
  public CompletableFuture<HttpCallResult> call(
      HttpMethod method,
      Address address,
      String pathAndQuery,
      Optional<JsonNode> body,
      long timeoutMillis) {
    return call(method, address, pathAndQuery, Map.of(), body, timeoutMillis);
  }

  /**
   * Sends one request with headers.
   *
   * @param method the HTTP method
   * @param address the server
   * @param pathAndQuery the path and the optional query
   * @param headers additional headers
   * @param body the JSON body, if any
   * @param timeoutMillis the timeout for the whole exchange, connecting included
   * @return the result; never completes with an exception
   */
  public CompletableFuture<HttpCallResult> call(
      HttpMethod method,
      Address address,
      String pathAndQuery,
      Map<HttpHeader, String> headers,
      Optional<JsonNode> body,
      long timeoutMillis) {
    int worker = Math.floorMod(next.getAndIncrement(), loops.size());
    CompletableFuture<HttpCallResult> result = new CompletableFuture<>();
    loops
        .get(worker)
        .execute(
            () -> {
              HttpRequest request = request(method, address, pathAndQuery, headers, body);
              HttpExchange exchange = new HttpExchange(loops.get(worker), readHeaders);
              Promises.timeout(timeoutMillis, exchange.send(clients.get(worker), request))
                  .whenComplete(
                      (reply, e) -> result.complete(e == null ? reply : exchange.failure(e)));
            });
    return result;
  }

  /**
   * Reads a resource that may be large. The body may take as long as it makes progress; an exchange
   * that fails is ended, so that the rest of its body is not received beside that of the next one.
   *
   * @param address the server
   * @param pathAndQuery the path and the optional query
   * @param timeoutMillis the timeout for the head of the response, connecting included
   * @return the result; never completes with an exception
   */
  public CompletableFuture<HttpCallResult> fetch(
      Address address, String pathAndQuery, long timeoutMillis) {
    int worker = Math.floorMod(next.getAndIncrement(), loops.size());
    CompletableFuture<HttpCallResult> result = new CompletableFuture<>();
    loops
        .get(worker)
        .execute(
            () -> {
              HttpRequest request =
                  request(HttpMethod.GET, address, pathAndQuery, Map.of(), Optional.empty());
              HttpExchange exchange = new HttpExchange(loops.get(worker), readHeaders);
              exchange
                  .sendExpectingProgress(clients.get(worker), request, timeoutMillis)
                  .whenComplete(
                      (reply, e) -> result.complete(e == null ? reply : exchange.failure(e)));
            });
    return result;
  }

  /**
   * Sends one request on a new connection, which is reset if no response arrives in time, so that
   * the request can't arrive later.
   *
   * @param method the HTTP method
   * @param address the server
   * @param pathAndQuery the path and the optional query
   * @param headers additional headers
   * @param body the JSON body, if any
   * @param timeoutMillis the timeout for the whole exchange, connecting included
   * @return the result; never completes with an exception
   */
  public CompletableFuture<HttpCallResult> callOnNewConnection(
      HttpMethod method,
      Address address,
      String pathAndQuery,
      Map<HttpHeader, String> headers,
      Optional<JsonNode> body,
      long timeoutMillis) {
    Eventloop loop = loops.get(0);
    CompletableFuture<HttpCallResult> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          HttpClient client =
              HttpClient.builder(loop, new IpAddressResolver())
                  .withSocketSettings(
                      SocketSettings.builder().withLingerTimeout(Duration.ZERO).build())
                  .withConnectTimeout(CONNECT_TIMEOUT)
                  .withNoKeepAlive()
                  .withForcedShutdown(true)
                  .build();
          HttpRequest request = request(method, address, pathAndQuery, headers, body);
          HttpExchange exchange = new HttpExchange(loop, readHeaders);
          Promises.timeout(timeoutMillis, exchange.send(client, request))
              .whenComplete(
                  (reply, e) -> {
                    client.stop();
                    result.complete(e == null ? reply : exchange.failure(e));
                  });
        });
    return result;
  }

  /** Stops the event loops. Requests in progress get no response. */
  public void stop() {
    loops.forEach(Eventloop::breakEventloop);
  }

  private static HttpRequest request(
      HttpMethod method,
      Address address,
      String pathAndQuery,
      Map<HttpHeader, String> headers,
      Optional<JsonNode> body) {
    HttpRequest.Builder builder = HttpRequest.builder(method, "http://" + address + pathAndQuery);
    headers.forEach(builder::withHeader);
    if (body.isPresent()) {
      builder.withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
      builder.withBody(Json.bytes(body.get()));
    }
    return builder.build();
  }

  /** Accepts IP addresses only and makes no DNS queries. */
  private static final class IpAddressResolver implements IDnsClient {
    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
      DnsResponse response = IDnsClient.resolveFromQuery(query);
      return response == null
          ? Promise.ofException(new IllegalArgumentException("host must be an IP address"))
          : Promise.of(response);
    }

    @Override
    public void close() {}
  }
}
