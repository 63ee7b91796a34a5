package org.sardinebay.standins.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import io.micrometer.core.instrument.Counter;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.sardinebay.Clock;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.net.AdminRoutes;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.HttpServerRequest;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.http.JsonHttpServer;
import org.sardinebay.net.http.Route;
import org.sardinebay.record.FieldReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a {@link Member} behind HTTP: persists its journal records, then sends its replies and
 * requests.
 */
final class EndpointProcess implements RunningProcess {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointProcess.class);
  private static final int SERVER_WORKERS = 2;
  private static final int CLIENT_WORKERS = 1;
  private static final long PULL_TIMEOUT_MARGIN_MILLIS = 500;
  private static final long LOST_REPLY_TIMEOUT_MILLIS = 30_000;
  private static final long MAX_LAG_MILLIS = 600_000;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final String REPLICATE = "/v1/replicate";

  private final EndpointSettings settings;
  private final Clock clock = Clock.system();
  private final FileJournal journal;
  private final ScheduledThreadPoolExecutor scheduler;
  private final JsonHttpClient http;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Counter violations = registry.counter("sardinebay_standin_violations");
  private final Object lock = new Object();

  // Guarded by the lock.
  private final Member member;
  private final ReplyFaults replyFaults = new ReplyFaults(this::failLater);
  private final Map<Long, PendingReply> pending = new HashMap<>();
  private final Map<Long, CompletableFuture<HttpServerResponse>> pendingPulls = new HashMap<>();
  private MemberFaults faults;
  private long tickets;
  private long wakeupAt = Long.MAX_VALUE;
  private Optional<ScheduledFuture<?>> nextWakeup = Optional.empty();
  private boolean journalFailed;

  private Optional<JsonHttpServer> server = Optional.empty();

  private EndpointProcess(EndpointSettings settings, FileJournal journal) {
    this.settings = settings;
    this.journal = journal;
    faults = settings.faults();
    member = new Member(settings.member(), faults, journal.restored());
    String name = settings.member().member().value();
    http = JsonHttpClient.start("replication-" + name, CLIENT_WORKERS);
    scheduler = new ScheduledThreadPoolExecutor(1, task -> daemon(task, "alarm-" + name));
    scheduler.setRemoveOnCancelPolicy(true);
  }

  static EndpointProcess start(EndpointSettings settings) throws IOException {
    EndpointProcess process = new EndpointProcess(settings, FileJournal.open(settings.dataFile()));
    try {
      process.server =
          Optional.of(JsonHttpServer.start(settings.listen(), SERVER_WORKERS, process.routes()));
    } catch (IOException e) {
      process.shutdown();
      throw e;
    }
    return process;
  }

  @Override
  public JsonNode dump() {
    ObjectNode tree = Json.newObject();
    tree.put("member", settings.member().member().value());
    tree.put("violations", (long) violations.count());
    synchronized (lock) {
      ReplyEncoder.putStanding(tree, member.standing());
      tree.put("owner", member.state().owner())
          .put("connectionsPeak", member.connections().peak())
          .put("opensRefused", member.connections().refusedOpens())
          .put("transactions", member.connections().transactions())
          .put("slotsBusy", member.executor().running())
          .put("statementsWaiting", member.executor().waiting())
          .put("settledKeys", member.state().log().settledKeys())
          .put("droppedEntries", member.state().log().droppedEntries())
          .put("journalFailed", journalFailed)
          .set("faults", dumpFaults());
    }
    return tree;
  }

  @Override
  public boolean ready() {
    synchronized (lock) {
      return !faults.leaving();
    }
  }

  @Override
  public void shutdown() {
    server.ifPresent(JsonHttpServer::stop);
    http.stop();
    scheduler.shutdownNow();
    synchronized (lock) {
      try {
        journal.close();
      } catch (IOException e) {
        LOG.atWarn().setMessage("journal_close_failed").setCause(e).log();
      }
    }
  }

  private List<Route> routes() {
    List<Route> routes = new ArrayList<>(AdminRoutes.of(this, registry));
    routes.add(route("/v1/open", CallDecoder::open));
    routes.add(route("/v1/close", CallDecoder::close));
    routes.add(route("/v1/execute", CallDecoder::execute));
    routes.add(route("/v1/progress", CallDecoder::progress));
    routes.add(route("/v1/fence", CallDecoder::fence));
    routes.add(route("/v1/promote", CallDecoder::promote));
    routes.add(route("/v1/follow", CallDecoder::follow));
    routes.add(Route.post(REPLICATE, this::replicate));
    routes.add(Route.post("/admin/faults", this::changeFaults));
    return routes;
  }

  private Route route(String path, Function<FieldReader, EndpointCall> decoder) {
    return Route.post(path, request -> handle(request, decoder));
  }

  private CompletableFuture<HttpServerResponse> handle(
      HttpServerRequest httpRequest, Function<FieldReader, EndpointCall> decoder) {
    CallDecoder.Decoded decoded =
        CallDecoder.decode(settings.member().member(), httpRequest.body(), decoder);
    CompletableFuture<HttpServerResponse> reply = new CompletableFuture<>();
    boolean execute = decoded.call().filter(EndpointCall.Execute.class::isInstance).isPresent();
    PendingReply waiting = new PendingReply(decoded.correlation(), execute, reply);
    if (decoded.call().isEmpty()) {
      reply.complete(badCall(waiting));
      return reply;
    }
    handleEvent(
        now -> {
          long ticket = tickets++;
          pending.put(ticket, waiting);
          member.call(now, ticket, decoded.call().get());
        });
    return reply;
  }

  private HttpServerResponse badCall(PendingReply waiting) {
    synchronized (lock) {
      return HttpServerResponse.json(
          HttpServerResponse.OK, encode(waiting, member.state().refused(EndpointRefusal.BAD_CALL)));
    }
  }

  private CompletableFuture<HttpServerResponse> replicate(HttpServerRequest httpRequest) {
    CompletableFuture<HttpServerResponse> reply = new CompletableFuture<>();
    PullRequest request;
    try {
      request = EntryCodec.decodeRequest(httpRequest.body().orElseGet(MissingNode::getInstance));
    } catch (IllegalArgumentException e) {
      reply.complete(HttpServerResponse.plain(BAD_REQUEST, "the request can't be read\n"));
      return reply;
    }
    handleEvent(
        now -> {
          long ticket = tickets++;
          pendingPulls.put(ticket, reply);
          member.pull(now, ticket, request);
        });
    return reply;
  }

  private CompletableFuture<HttpServerResponse> changeFaults(HttpServerRequest httpRequest) {
    FieldReader reader = FieldReader.of(httpRequest.body().orElseGet(MissingNode::getInstance));
    handleEvent(now -> changeFaults(now, reader));
    HttpServerResponse reply;
    if (reader.problems().isEmpty()) {
      synchronized (lock) {
        reply = HttpServerResponse.json(HttpServerResponse.OK, dumpFaults());
      }
    } else {
      reply = HttpServerResponse.plain(BAD_REQUEST, reader.problems() + "\n");
    }
    return CompletableFuture.completedFuture(reply);
  }

  private void changeFaults(long now, FieldReader reader) {
    ReplyFaults.Counts counts = replyFaults.read(reader);
    MemberFaults changed =
        new MemberFaults(
            reader.number("applyLagMillis", 0, MAX_LAG_MILLIS, faults.applyLagMillis()),
            reader.number("receiveLagMillis", 0, MAX_LAG_MILLIS, faults.receiveLagMillis()),
            reader.flag("leaving", faults.leaving()),
            reader.flag("freezeApply", faults.freezeApply()));
    reader.rejectUnknownFields();
    if (reader.problems().isEmpty()) {
      replyFaults.set(counts);
      faults = changed;
      member.faults(now, faults);
    }
  }

  private ObjectNode dumpFaults() {
    ObjectNode tree = Json.newObject();
    tree.put("applyLagMillis", faults.applyLagMillis())
        .put("receiveLagMillis", faults.receiveLagMillis())
        .put("leaving", faults.leaving())
        .put("freezeApply", faults.freezeApply());
    replyFaults.dump(tree);
    return tree;
  }

  /** Lets the member handle one event, persists its records, then sends its output. */
  private void handleEvent(LongConsumer event) {
    List<Runnable> sends = new ArrayList<>();
    synchronized (lock) {
      try {
        event.accept(clock.millis());
      } catch (RuntimeException e) {
        violations.increment();
        LOG.atError().setMessage("invariant_violated").setCause(e).log();
      }
      MemberOutput output = member.drain();
      if (persist(output.records())) {
        collectSends(output, sends);
      }
      scheduleWakeup();
    }
    sends.forEach(Runnable::run);
  }

  /**
   * Persists records. After the first failed write the member sends nothing more, as if it had
   * crashed.
   */
  private boolean persist(List<JournalRecord> records) {
    if (journalFailed) {
      return false;
    }
    try {
      journal.write(records);
      return true;
    } catch (IOException e) {
      journalFailed = true;
      LOG.atError().setMessage("journal_failed").setCause(e).log();
      return false;
    }
  }

  private void collectSends(MemberOutput output, List<Runnable> sends) {
    for (MemberOutput.Answer answer : output.answers()) {
      PendingReply waiting = pending.remove(answer.ticket());
      ReplyFaults.Delivery delivery =
          new ReplyFaults.Delivery(waiting, encode(waiting, answer.reply()));
      for (ReplyFaults.Delivery each : replyFaults.apply(delivery, answer.reply())) {
        HttpServerResponse reply = HttpServerResponse.json(HttpServerResponse.OK, each.body());
        sends.add(() -> each.pending().reply().complete(reply));
      }
    }
    for (MemberOutput.PullAnswer answer : output.pullAnswers()) {
      CompletableFuture<HttpServerResponse> waiting = pendingPulls.remove(answer.ticket());
      HttpServerResponse reply =
          HttpServerResponse.json(HttpServerResponse.OK, EntryCodec.encode(answer.reply()));
      sends.add(() -> waiting.complete(reply));
    }
    output.pulls().forEach(pull -> sends.add(() -> send(pull)));
  }

  private ObjectNode encode(PendingReply waiting, EndpointReply reply) {
    return ReplyEncoder.encode(settings.member().member(), waiting.correlation(), reply);
  }

  private void send(MemberOutput.Pull pull) {
    CompletableFuture<Void> unused =
        http.call(
                HttpMethod.POST,
                settings.translation().translate(pull.address()),
                REPLICATE,
                Optional.of(EntryCodec.encode(pull.request())),
                pull.request().waitMillis() + PULL_TIMEOUT_MARGIN_MILLIS)
            .thenAccept(
                result -> handleEvent(now -> member.pulled(now, pull.id(), pullReply(result))));
  }

  private static Optional<PullReply> pullReply(HttpCallResult result) {
    if (!(result instanceof HttpCallResult.Response response)
        || response.status() != HttpServerResponse.OK) {
      return Optional.empty();
    }
    try {
      return Optional.of(EntryCodec.decodeReply(response.body()));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private void scheduleWakeup() {
    OptionalLong dueAt = member.nextDueAt();
    if (dueAt.isEmpty() || dueAt.getAsLong() >= wakeupAt || scheduler.isShutdown()) {
      return;
    }
    wakeupAt = dueAt.getAsLong();
    long delayMillis = Math.max(0, wakeupAt - clock.millis());
    nextWakeup.ifPresent(later -> later.cancel(false));
    nextWakeup = Optional.of(scheduler.schedule(this::wakeUp, delayMillis, TimeUnit.MILLISECONDS));
  }

  private void wakeUp() {
    handleEvent(
        now -> {
          wakeupAt = Long.MAX_VALUE;
          member.tick(now);
        });
  }

  private void failLater(PendingReply waiting) {
    HttpServerResponse reply = HttpServerResponse.plain(UNAVAILABLE, "the reply was lost\n");
    ScheduledFuture<?> unused =
        scheduler.schedule(
            () -> waiting.reply().complete(reply),
            LOST_REPLY_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
