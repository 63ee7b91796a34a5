package org.sardinebay.proxy.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.Answer;
import org.sardinebay.CallerRequest;
import org.sardinebay.Failure;
import org.sardinebay.HostId;
import org.sardinebay.RequestKind;
import org.sardinebay.net.http.HttpServerRequest;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.generated.ForwardCall;
import org.sardinebay.net.peer.generated.ForwardReply;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.proxy.internal.connection.IngressTransactions;
import org.sardinebay.proxy.internal.connection.TransactionTable;
import org.sardinebay.proxy.internal.request.AnswerWriter;
import org.sardinebay.proxy.internal.request.HomeRouting;
import org.sardinebay.proxy.internal.request.RequestReader;
import org.sardinebay.proxy.internal.version.Home;

/**
 * Accepts requests from callers and requests forwarded by other proxies.
 *
 * <pre>{@code
 * Route.post("/v1/requests", service::handle);
 * }</pre>
 */
public final class RequestService {
  private final ProxyRuntime runtime;
  private final DatabaseRegistry databaseRegistry;
  private final RequestRunner runner;
  private final Forwarder forwarder;
  private final PeerSuspicion suspicion;
  private final Supplier<String> idGenerator;
  private final IngressTransactions ingress;
  private final AtomicInteger inProgress = new AtomicInteger();
  private volatile boolean draining;

  /**
   * Creates the service.
   *
   * @param runtime the shared services of the proxy
   * @param databaseRegistry the databases and their homes
   * @param runner runs requests on this proxy
   * @param forwarder forwards requests to other proxies
   * @param suspicion the proxies that recently did not answer
   * @param idGenerator generates unique ids
   */
  public RequestService(
      ProxyRuntime runtime,
      DatabaseRegistry databaseRegistry,
      RequestRunner runner,
      Forwarder forwarder,
      PeerSuspicion suspicion,
      Supplier<String> idGenerator) {
    this.runtime = runtime;
    this.databaseRegistry = databaseRegistry;
    this.runner = runner;
    this.forwarder = forwarder;
    this.suspicion = suspicion;
    this.idGenerator = idGenerator;
    this.ingress = new IngressTransactions(runtime.clock());
  }

  /**
   * Handles a request from a caller.
   *
   * @param httpRequest the HTTP request
   * @return the HTTP response
   */
  public CompletableFuture<HttpServerResponse> handle(HttpServerRequest httpRequest) {
    String requestId = idGenerator.get();
    RequestReader.Result read = RequestReader.read(httpRequest.body(), requestId);
    if (read instanceof RequestReader.Result.Invalid invalid) {
      Answer answer = new Answer.Refused(invalid.failure());
      return CompletableFuture.completedFuture(
          AnswerWriter.response(AnswerWriter.write(requestId, answer, Optional.empty())));
    }
    CallerRequest request = withIdempotencyKey(((RequestReader.Result.Valid) read).request());
    JsonNode body = bodyWithIdempotencyKey(httpRequest.body().orElseThrow(), request);
    long startedAt = runtime.clock().millis();
    inProgress.incrementAndGet();
    return route(request, body)
        .thenApply(answer -> trackTransaction(request, answer))
        .thenApply(AnswerWriter::response)
        .whenComplete((response, e) -> onAnswered(request, response, startedAt));
  }

  private JsonNode trackTransaction(CallerRequest request, JsonNode answer) {
    boolean done = answer.path("outcome").asText().equals(AnswerWriter.DONE);
    switch (request.kind()) {
      case BEGIN -> {
        if (done) {
          ingress.touch(answer.path("transaction").asText());
        }
      }
      case STATEMENT -> {
        if (done) {
          ingress.touch(request.transaction().orElseThrow());
        }
      }
      case COMMIT, ROLLBACK -> ingress.remove(request.transaction().orElseThrow());
      default -> {
        // Reads and writes leave nothing open.
      }
    }
    return answer;
  }

  private void onAnswered(CallerRequest request, HttpServerResponse response, long startedAt) {
    inProgress.decrementAndGet();
    String outcome = response == null ? "failed" : response.body().path("outcome").asText();
    Timer.builder("sardinebay_request_duration")
        .tag("kind", request.kind().name())
        .tag("outcome", outcome)
        .register(runtime.metrics())
        .record(runtime.clock().millis() - startedAt, TimeUnit.MILLISECONDS);
  }

  private CallerRequest withIdempotencyKey(CallerRequest request) {
    boolean needsKey = request.kind() == RequestKind.WRITE || request.kind() == RequestKind.COMMIT;
    return needsKey && request.idempotencyKey().isEmpty()
        ? request.withIdempotencyKey(idGenerator.get())
        : request;
  }

  private static JsonNode bodyWithIdempotencyKey(JsonNode body, CallerRequest request) {
    if (request.idempotencyKey().isEmpty()) {
      return body;
    }
    ObjectNode copy = body.deepCopy();
    return copy.put("idempotencyKey", request.idempotencyKey().get());
  }

  private CompletableFuture<? extends JsonNode> route(CallerRequest request, JsonNode body) {
    if (draining && !request.kind().insideTransaction()) {
      return notRun(request, new Failure.ShuttingDown());
    }
    if (request.kind().insideTransaction()) {
      return routeTransaction(request, body);
    }
    List<Home> homes = databaseRegistry.homes(request.database());
    return homes.isEmpty() ? runner.run(request, false) : routeToHomes(request, body, homes);
  }

  /**
   * Routes a request to the host on which its transaction is open. If that host does not answer a
   * commit, a home of the database resolves the outcome by the commit's idempotency key.
   */
  private CompletableFuture<? extends JsonNode> routeTransaction(
      CallerRequest request, JsonNode body) {
    Optional<HostId> host = TransactionTable.hostOf(request.transaction().orElseThrow());
    Optional<Address> address = host.flatMap(databaseRegistry::peerAddress);
    if (address.isEmpty() || host.get().equals(runtime.identity().host())) {
      return runner.run(request, false);
    }
    List<Home> homes = new ArrayList<>();
    homes.add(new Home(host.get(), address.get(), false));
    if (request.kind() == RequestKind.COMMIT) {
      homes.addAll(databaseRegistry.homes(request.database()));
    }
    return routeToHomes(request, body, homes);
  }

  private CompletableFuture<JsonNode> routeToHomes(
      CallerRequest request, JsonNode body, List<Home> homes) {
    return new HomeRouting(runtime, runner, forwarder, suspicion, request, body, homes).start();
  }

  private CompletableFuture<ObjectNode> notRun(CallerRequest request, Failure failure) {
    return CompletableFuture.completedFuture(runner.notRun(request.requestId(), failure));
  }

  /**
   * Handles a request that another proxy forwarded.
   *
   * @param call the forwarded request
   * @return a frame with the answer
   */
  public CompletableFuture<Frame> handleForwarded(ForwardCall call) {
    Optional<JsonNode> body = Json.parse(call.getRequest().toByteArray());
    RequestReader.Result read = RequestReader.read(body, call.getRequestId());
    if (read instanceof RequestReader.Result.Invalid invalid) {
      Answer answer = new Answer.Refused(invalid.failure());
      return CompletableFuture.completedFuture(
          frame(AnswerWriter.write(call.getRequestId(), answer, Optional.empty())));
    }
    CallerRequest request =
        ((RequestReader.Result.Valid) read)
            .request()
            .withTimeoutMillis(Math.max(1, call.getRemainingMillis()));
    if (draining && !request.kind().insideTransaction()) {
      return notRun(request, new Failure.ShuttingDown()).thenApply(RequestService::frame);
    }
    inProgress.incrementAndGet();
    return runner
        .run(request, call.getInDoubt())
        .thenApply(RequestService::frame)
        .whenComplete((frame, e) -> inProgress.decrementAndGet());
  }

  private static Frame frame(JsonNode answer) {
    ForwardReply reply =
        ForwardReply.newBuilder().setAnswer(ByteString.copyFrom(Json.bytes(answer))).build();
    return Frame.newBuilder().setForwardReply(reply).build();
  }

  /**
   * Starts a graceful shutdown: from now on, new requests are answered as not-run, and only
   * requests of open transactions still run.
   */
  public void startDraining() {
    draining = true;
  }

  /**
   * The number of open transactions that callers use through this proxy.
   *
   * @return the number, including transactions that run on other proxies
   */
  public int ingressTransactions() {
    return ingress.size();
  }

  /**
   * The number of requests in progress.
   *
   * @return the number, including requests forwarded by other proxies
   */
  public int inProgress() {
    return inProgress.get();
  }
}
