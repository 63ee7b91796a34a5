package org.sardinebay.net.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sardinebay.Address;
import org.sardinebay.Clock;

/**
 * Serves JSON over HTTP/1.1 on several event loops.
 *
 * <pre>{@code
 * JsonHttpServer server = JsonHttpServer.start(address, 2, List.of(Route.get("/health", handler)));
 * ...
 * server.stop();
 * }</pre>
 *
 * <p>Requests with a body larger than {@link #MAX_BODY_BYTES} or not received completely within
 * {@link #READ_TIMEOUT} get an HTTP error, and their connection is closed.
 */
public final class JsonHttpServer {
  /** The maximum size of a request body, in bytes. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  /** The timeout for receiving a request and for sending a response. */
  public static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

  private static final Duration KEEP_ALIVE = Duration.ofSeconds(60);
  private static final long STOP_TIMEOUT_MILLIS = 5_000;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int NOT_FOUND = 404;
  private static final int BAD_REQUEST = 400;
  private static final int REQUEST_TIMEOUT = 408;

  private final List<Eventloop> loops;
  private final PrimaryServer server;

  private JsonHttpServer(List<Eventloop> loops, PrimaryServer server) {
    this.loops = loops;
    this.server = server;
  }

  /**
   * Starts a server.
   *
   * @param listen the listen address
   * @param workers the number of event loops that serve requests
   * @param routes the routes
   * @return the running server
   * @throws IOException if the address can't be bound
   */
  public static JsonHttpServer start(Address listen, int workers, List<Route> routes)
      throws IOException {
    List<Eventloop> loops = new ArrayList<>();
    List<HttpServer> servers = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      Eventloop loop = startLoop("http-" + listen.port() + "-" + i);
      loops.add(loop);
      servers.add(worker(loop, routes));
    }
    Eventloop acceptor = startLoop("http-" + listen.port() + "-accept");
    loops.add(acceptor);
    PrimaryServer primary =
        PrimaryServer.builder(acceptor, servers).withListenAddress(listen.socketAddress()).build();
    JsonHttpServer server = new JsonHttpServer(loops, primary);
    server.listen(acceptor);
    return server;
  }

  /**
   * Serves requests on an event loop that the caller runs. Must be called on the loop's thread.
   *
   * @param loop the event loop; handlers are called on its thread
   * @param listen the listen address
   * @param routes the routes
   * @throws IOException if the address can't be bound
   */
  public static void serveOn(Eventloop loop, Address listen, List<Route> routes)
      throws IOException {
    serverBuilder(loop, routes).withListenAddress(listen.socketAddress()).build().listen();
  }

  /**
   * Starts an event loop on a new daemon thread.
   *
   * @param name the thread's name
   * @return the running event loop
   */
  static Eventloop startLoop(String name) {
    Eventloop loop =
        Eventloop.builder()
            .withThreadName(name)
            .withIdleInterval(Duration.ofMillis(MILLIS_PER_SECOND))
            .withTimeProvider(Clock.system()::millis)
            .build();
    loop.keepAlive(true);
    Thread thread = new Thread(loop, name);
    thread.setDaemon(true);
    thread.start();
    return loop;
  }

  /**
   * Stops accepting connections, waits up to 5 seconds for the requests in progress, and stops the
   * event loops.
   */
  public void stop() {
    try {
      server.closeFuture().get(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      // Stopping the event loops below aborts the remaining requests.
    }
    loops.forEach(Eventloop::breakEventloop);
  }

  private void listen(Eventloop acceptor) throws IOException {
    try {
      acceptor.submit(server::listen).get(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding", e);
    } catch (ExecutionException | TimeoutException e) {
      stop();
      throw new IOException("could not listen: " + e.getMessage(), e);
    }
  }

  private static HttpServer worker(NioReactor reactor, List<Route> routes) {
    return serverBuilder(reactor, routes).build();
  }

  private static HttpServer.Builder serverBuilder(NioReactor reactor, List<Route> routes) {
    RoutingServlet.Builder servlet = RoutingServlet.builder(reactor);
    for (Route route : routes) {
      servlet.with(route.method(), route.path(), servlet(route.handler()));
    }
    servlet.with("/*", request -> toPromise(HttpServerResponse.plain(NOT_FOUND, "no such path\n")));
    return HttpServer.builder(reactor, servlet.build())
        .withMaxBodySize(MAX_BODY_BYTES)
        .withReadWriteTimeout(READ_TIMEOUT)
        .withKeepAliveTimeout(KEEP_ALIVE)
        .withHttpErrorFormatter(
            e -> toPromise(HttpServerResponse.plain(BAD_REQUEST, "the request can't be read\n")));
  }

  private static AsyncServlet servlet(HttpHandler handler) {
    return request ->
        Promises.timeout(READ_TIMEOUT, request.loadBody(MAX_BODY_BYTES))
            .then(
                body -> serve(handler, request, body),
                e ->
                    toPromise(
                        HttpServerResponse.plain(REQUEST_TIMEOUT, "the request did not end\n")));
  }

  private static Promise<HttpResponse> serve(
      HttpHandler handler, HttpRequest request, ByteBuf body) {
    HttpServerRequest serverRequest =
        new HttpServerRequest(
            request.getRelativePath(),
            request.getQueryParameters(),
            Json.parse(body.getArray()),
            header -> Optional.ofNullable(request.getHeader(header)));
    CompletableFuture<HttpServerResponse> response = handler.handle(serverRequest);
    return Promise.ofCompletionStage(response).map(JsonHttpServer::response);
  }

  private static Promise<HttpResponse> toPromise(HttpServerResponse response) {
    return Promise.of(response(response));
  }

  private static HttpResponse response(HttpServerResponse response) {
    HttpResponse.Builder builder = HttpResponse.ofCode(response.status());
    response.headers().forEach(builder::withHeader);
    response
        .retryAfterMillis()
        .ifPresent(
            millis ->
                builder.withHeader(
                    HttpHeaders.RETRY_AFTER,
                    Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
    if (response.text().isPresent()) {
      builder.withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; charset=utf-8");
      builder.withBody(response.text().get().getBytes(StandardCharsets.UTF_8));
    } else {
      builder.withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
      builder.withBody(Json.bytes(response.body()));
    }
    return builder.build();
  }
}
