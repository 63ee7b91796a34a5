package org.sardinebay.gateway.internal.version;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.internal.process.DomainDistances;
import org.sardinebay.internal.process.QuotaKeeper;
import org.sardinebay.internal.process.QuotaKeeperHealth;
import org.sardinebay.internal.process.QuotaStep;
import org.sardinebay.internal.process.QuotaTokens;
import org.sardinebay.internal.version.QuotaHosts;
import org.sardinebay.internal.version.QuotaRule;
import org.sardinebay.internal.version.QuotaShards;
import org.sardinebay.internal.version.QuotaView;
import org.sardinebay.internal.version.RendezvousOrder;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.QuotaCall;
import org.sardinebay.net.peer.generated.QuotaReply;
import org.sardinebay.session.RegisteredHost;
import org.sardinebay.session.RouteTable;
import org.sardinebay.session.Workspaces;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Enforces the quotas of workspaces: takes a token for each operation from the keepers of the
 * workspace's shards, and answers other hosts for the shards kept here.
 *
 * <pre>{@code
 * quotas.acquire(workspace, request.id(), outcome -> ...);
 * quotas.tick(now);
 * }</pre>
 *
 * <p>Use it only on the event loop, except {@link #answer}.
 */
public final class Quotas {
  private static final Logger LOG = LoggerFactory.getLogger(Quotas.class);

  /** Timeout of a call to a keeper, in milliseconds: round trips between regions are 17 ms. */
  private static final long CALL_TIMEOUT_MILLIS = 200;

  /** The shortest time that a refused caller is given, in milliseconds. */
  private static final long MIN_RETRY_MILLIS = 100;

  /** Refused callers are spread over this time, in milliseconds, so as not to return together. */
  private static final long RETRY_SPREAD_MILLIS = 400;

  private static final long LOG_INTERVAL_MILLIS = 1_000;

  /** A call for no tokens: an answer shows that the keeper is reached. */
  private static final QuotaCall PROBE = QuotaCall.getDefaultInstance();

  private final RegisteredHost self;
  private final QuotaRule rule;
  private final DomainDistances distances;
  private final Supplier<RouteTable> table;
  private final Supplier<List<RegisteredHost>> registered;
  private final Homes homes;
  private final Clock clock;
  private final QuotaMetrics metrics;
  private final QuotaHosts hosts;
  private final QuotaKeeper keeper;
  private final QuotaKeeperHealth health = new QuotaKeeperHealth();
  private final Map<WorkspaceId, WorkspaceQuota> quotas = new TreeMap<>();
  private Optional<Workspaces> workspaces = Optional.empty();
  private QuotaView view;

  private record Operation(String requestId, Consumer<QuotaOutcome> done) {}

  /** The tokens of one workspace, with the view that its keepers were taken from. */
  private static final class WorkspaceQuota {
    private final WorkspaceId id;
    private final QuotaTokens<Operation> tokens;
    private Optional<QuotaView> keepersFrom = Optional.empty();
    private long refusedSinceLog;
    private long loggedAt = Long.MIN_VALUE / 2;

    private WorkspaceQuota(WorkspaceId id, QuotaTokens<Operation> tokens) {
      this.id = id;
      this.tokens = tokens;
    }
  }

  /**
   * The state of a workspace at this host.
   *
   * @param held the tokens in hand
   * @param waiting the operations that wait for a token
   * @param counts numbers of tokens and operations since the start
   */
  public record State(int held, int waiting, QuotaTokens.Counts counts) {}

  /**
   * Creates an instance without tokens.
   *
   * @param self this host
   * @param rule the rule that the quotas are enforced by
   * @param distances round-trip times between failure domains
   * @param table the configuration in force
   * @param registered the registered hosts; the same instance until they change
   * @param homes holds the clients of other hosts
   * @param clock the clock
   * @param registry the registry of the counters
   */
  public Quotas(
      RegisteredHost self,
      QuotaRule rule,
      DomainDistances distances,
      Supplier<RouteTable> table,
      Supplier<List<RegisteredHost>> registered,
      Homes homes,
      Clock clock,
      MeterRegistry registry) {
    this.self = self;
    this.rule = rule;
    this.distances = distances;
    this.table = table;
    this.registered = registered;
    this.homes = homes;
    this.clock = clock;
    this.metrics = new QuotaMetrics(registry);
    this.hosts = new QuotaHosts(self.id());
    this.view = QuotaView.of(rule, hosts.all(), hosts.complete(), Optional.empty());
    this.keeper = new QuotaKeeper(self.id(), view);
  }

  /**
   * Takes a token for an operation.
   *
   * @param id the workspace
   * @param requestId the caller's request id, which determines its share of the retry times
   * @param done receives the outcome, at once unless a keeper has to be asked; called once
   */
  public void acquire(WorkspaceId id, String requestId, Consumer<QuotaOutcome> done) {
    long now = clock.millis();
    refresh(now);
    Optional<WorkspaceQuota> quota = quota(id);
    if (quota.isEmpty()) {
      done.accept(new QuotaOutcome.Permitted());
      return;
    }
    Operation operation = new Operation(requestId, done);
    perform(quota.get(), quota.get().tokens.onStatement(operation, now));
  }

  /**
   * Gives back the token of an operation that was not run.
   *
   * @param id the workspace
   */
  public void giveBack(WorkspaceId id) {
    long now = clock.millis();
    quota(id).ifPresent(quota -> perform(quota, quota.tokens.onNotRun(now)));
  }

  /**
   * A transaction began: its first statement will take a token, which is asked for now.
   *
   * @param id the workspace
   */
  public void onTransactionBegun(WorkspaceId id) {
    long now = clock.millis();
    refresh(now);
    quota(id).ifPresent(quota -> perform(quota, quota.tokens.onTransactionBegun(now)));
  }

  /** Returns the quota of a workspace, empty if it has no rate. */
  private Optional<WorkspaceQuota> quota(WorkspaceId id) {
    Optional<QuotaShards> shards = view.shards(id);
    if (shards.isEmpty()) {
      return Optional.empty();
    }
    WorkspaceQuota quota = quotas.computeIfAbsent(id, this::newQuota);
    if (quota.keepersFrom.filter(from -> from == view).isEmpty()) {
      quota.keepersFrom = Optional.of(view);
      List<RegisteredHost> keepers = shards.get().keepers();
      quota.tokens.setKeepers(ids(keepers), ids(byDistance(id, keepers)));
    }
    return Optional.of(quota);
  }

  private WorkspaceQuota newQuota(WorkspaceId id) {
    int turn = self.id().hashCode() ^ id.hashCode();
    return new WorkspaceQuota(id, new QuotaTokens<>(this::answers, turn));
  }

  private boolean answers(HostId host) {
    return host.equals(self.id())
        || (health.answers(host) && homes.client(host).filter(HomeClient::usable).isPresent());
  }

  private static List<HostId> ids(List<RegisteredHost> keepers) {
    return keepers.stream().map(RegisteredHost::id).toList();
  }

  /** Orders keepers by distance; those at the same distance differently for each host. */
  private List<RegisteredHost> byDistance(WorkspaceId id, List<RegisteredHost> keepers) {
    List<RegisteredHost> sorted =
        new ArrayList<>(
            RendezvousOrder.of(self.id() + "/" + id, keepers, host -> host.id().value()));
    sorted.sort(Comparator.comparingLong(this::roundTripMillis));
    return sorted;
  }

  private long roundTripMillis(RegisteredHost host) {
    return host.id().equals(self.id())
        ? 0
        : distances.roundTripMillis(self.failureDomain(), host.failureDomain());
  }

  private void perform(WorkspaceQuota quota, List<QuotaStep<Operation>> steps) {
    for (QuotaStep<Operation> step : steps) {
      if (step instanceof QuotaStep.Run<Operation> run) {
        run.statement().done().accept(new QuotaOutcome.Permitted());
      } else if (step instanceof QuotaStep.Refuse<Operation> refuse) {
        quota.refusedSinceLog++;
        long retryAfterMillis = spread(refuse.statement().requestId(), refuse.retryAfterMillis());
        refuse.statement().done().accept(new QuotaOutcome.Refused(retryAfterMillis));
      } else if (step instanceof QuotaStep.Ask<Operation> ask) {
        ask(quota, ask);
      }
    }
  }

  private static long spread(String requestId, long retryAfterMillis) {
    return Math.max(MIN_RETRY_MILLIS, retryAfterMillis)
        + Math.floorMod(requestId.hashCode() * 31L, RETRY_SPREAD_MILLIS);
  }

  private void ask(WorkspaceQuota quota, QuotaStep.Ask<Operation> ask) {
    if (ask.keeper().equals(self.id())) {
      QuotaKeeper.Grant grant = keeper.grant(quota.id, ask.wanted(), clock.millis());
      onReply(quota, ask, grant.granted(), grant.retryAfterMillis());
      return;
    }
    QuotaCall call =
        QuotaCall.newBuilder()
            .setWorkspace(quota.id.value())
            .setShard(ask.shard())
            .setWanted(ask.wanted())
            .build();
    Optional<HomeClient> client = homes.client(ask.keeper());
    if (client.isEmpty()) {
      onUnanswered(quota, ask);
      return;
    }
    client.get().requestTokens(call, CALL_TIMEOUT_MILLIS, reply -> onResult(quota, ask, reply));
  }

  private void onResult(
      WorkspaceQuota quota, QuotaStep.Ask<Operation> ask, Optional<QuotaReply> reply) {
    if (reply.isEmpty()) {
      onUnanswered(quota, ask);
      return;
    }
    health.onAnswer(ask.keeper());
    int granted = Math.min(Math.max(reply.get().getGranted(), 0), ask.wanted());
    onReply(quota, ask, granted, reply.get().getRetryAfterMillis());
  }

  private void onReply(
      WorkspaceQuota quota, QuotaStep.Ask<Operation> ask, int granted, long retryAfterMillis) {
    perform(quota, quota.tokens.onReply(ask, granted, retryAfterMillis, clock.millis()));
  }

  private void onUnanswered(WorkspaceQuota quota, QuotaStep.Ask<Operation> ask) {
    long now = clock.millis();
    if (health.answers(ask.keeper())) {
      LOG.atWarn()
          .setMessage("quota_keeper_unanswered")
          .addKeyValue("keeper", ask.keeper())
          .addKeyValue("workspace", quota.id)
          .addKeyValue("wanted", ask.wanted())
          .addKeyValue("millis", now - ask.sentAt())
          .log();
    }
    health.onUnanswered(ask.keeper(), now);
    perform(quota, quota.tokens.onUnanswered(ask, now));
  }

  /**
   * Answers another host that asks for tokens of a shard kept here. May be called on any thread.
   *
   * @param call the call
   * @return the answer
   */
  public Frame answer(QuotaCall call) {
    QuotaReply.Builder reply = QuotaReply.newBuilder();
    if (!call.getWorkspace().isEmpty()) {
      QuotaKeeper.Grant grant =
          keeper.grant(new WorkspaceId(call.getWorkspace()), call.getWanted(), clock.millis());
      reply.setGranted(grant.granted()).setRetryAfterMillis(grant.retryAfterMillis());
    }
    return Frame.newBuilder().setQuotaReply(reply).build();
  }

  /**
   * Applies changes of the fleet and the configuration, probes keepers that did not answer, and
   * reports refusals.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    refresh(now);
    for (HostId host : health.probesDue(now)) {
      homes.client(host).ifPresent(client -> probe(host, client));
    }
    quotas.values().forEach(quota -> logRefusals(quota, now));
    Map<WorkspaceId, QuotaTokens.Counts> counts = new HashMap<>();
    quotas.forEach((id, quota) -> counts.put(id, quota.tokens.counts()));
    metrics.update(counts);
  }

  private void probe(HostId host, HomeClient client) {
    client.requestTokens(
        PROBE, CALL_TIMEOUT_MILLIS, reply -> reply.ifPresent(answer -> health.onAnswer(host)));
  }

  private void refresh(long now) {
    boolean hostsChanged = hosts.update(registered.get(), now);
    // Each version of the configuration has its own instance of the workspaces.
    Optional<Workspaces> newest = table.get().workspaces();
    boolean workspacesChanged = !newest.equals(workspaces);
    if (!hostsChanged && !workspacesChanged) {
      return;
    }
    workspaces = newest;
    view =
        hostsChanged
            ? QuotaView.of(rule, hosts.all(), hosts.complete(), workspaces)
            : view.withWorkspaces(workspaces);
    keeper.update(view);
    if (workspacesChanged) {
      quotas.values().removeIf(quota -> quota.tokens.waiting() == 0 && !view.configured(quota.id));
    }
  }

  private static void logRefusals(WorkspaceQuota quota, long now) {
    if (quota.refusedSinceLog > 0 && now - quota.loggedAt >= LOG_INTERVAL_MILLIS) {
      LOG.atInfo()
          .setMessage("quota_refused")
          .addKeyValue("workspace", quota.id)
          .addKeyValue("refused", quota.refusedSinceLog)
          .log();
      quota.refusedSinceLog = 0;
      quota.loggedAt = now;
    }
  }

  /**
   * Returns the buckets of the shards that this host keeps.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return the buckets that were used, by workspace
   */
  public Map<WorkspaceId, QuotaKeeper.BucketState> buckets(long now) {
    return keeper.buckets(now);
  }

  /**
   * Returns the state of the workspaces whose operations this host has run or refused.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return the states by workspace
   */
  public Map<WorkspaceId, State> states(long now) {
    Map<WorkspaceId, State> states = new TreeMap<>();
    quotas.forEach(
        (id, quota) ->
            states.put(
                id,
                new State(quota.tokens.held(now), quota.tokens.waiting(), quota.tokens.counts())));
    return states;
  }
}
