package org.sardinebay.gateway.internal.version;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.sardinebay.Clock;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.LossCause;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.connection.MemberPoolListener;
import org.sardinebay.gateway.internal.request.PlacementRequest;
import org.sardinebay.internal.connection.ConnectionQuota;
import org.sardinebay.internal.process.DomainDistances;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.MemberStatus;
import org.sardinebay.session.ServiceSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This host's state of one service: the service view, the connection pools of the members, the
 * statements waiting to be placed, and the polling of the members' status.
 *
 * <pre>{@code
 * runtime.place(statement);
 * runtime.tick(now);
 * }</pre>
 */
public final class ServiceRuntime implements MemberPoolListener {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceRuntime.class);

  /**
   * How long this host keeps its connections after it had to run a statement without being chosen
   * as a home, in milliseconds. The host that forwarded the statement takes this one for a home of
   * the service.
   */
  private static final long TEMPORARY_HOME_MILLIS = 3_000;

  private final Eventloop loop;
  private final Clock clock;
  private final HostId self;
  private final FailureDomain ownDomain;
  private final DomainDistances distances;
  private final MemberProtocol protocol;
  private final ServiceView view;
  private final Map<MemberId, MemberPool> pools = new LinkedHashMap<>();
  private final StatusPoller statusPoller;
  private final MemberEvidence evidence;
  private final StatementPlacer placer;
  private final Map<MemberId, Long> unreachableSince = new HashMap<>();
  private Set<FailureDomain> failureDomains = Set.of();
  private ServiceSpec spec;
  private boolean home;
  private boolean leased;
  private int homeCount = 1;
  private long servedAsHomeAt = Long.MIN_VALUE / 2;

  /**
   * Creates a service without members.
   *
   * @param loop the event loop that this service runs on
   * @param clock the clock
   * @param self this host
   * @param ownDomain this host's failure domain
   * @param distances round-trip times between failure domains
   * @param protocol the members' protocol
   * @param spec the service's configuration
   */
  public ServiceRuntime(
      Eventloop loop,
      Clock clock,
      HostId self,
      FailureDomain ownDomain,
      DomainDistances distances,
      MemberProtocol protocol,
      ServiceSpec spec) {
    this.loop = loop;
    this.clock = clock;
    this.self = self;
    this.ownDomain = ownDomain;
    this.distances = distances;
    this.protocol = protocol;
    this.spec = spec;
    this.view = new ServiceView(spec.name(), clock.millis());
    view.requireReplicas(spec.synchronousReplicas());
    this.statusPoller = new StatusPoller(view, protocol, this::roundTripMillis, clock);
    this.evidence = new MemberEvidence(spec.name(), view, this::roundTripMillis, clock);
    this.placer =
        new StatementPlacer(
            view, pools, this::roundTripMillis, statusPoller, evidence.performance(), clock);
  }

  /**
   * Returns what this host knows of the service.
   *
   * @return the view
   */
  public ServiceView view() {
    return view;
  }

  /**
   * Returns the pool of a member.
   *
   * @param member the member
   * @return the pool, empty if the member is not registered
   */
  public Optional<MemberPool> pool(MemberId member) {
    return Optional.ofNullable(pools.get(member));
  }

  /**
   * Updates whether this host is a home of the service, that is, holds connections to its members.
   * A temporary home stays a home until its time is over.
   *
   * @param chosen whether this host is among the chosen homes
   * @param newHomeCount number of hosts that share the members' connection limit
   * @param now the current time by this host's clock, in milliseconds
   */
  public void updateHome(boolean chosen, int newHomeCount, long now) {
    boolean temporary = now - servedAsHomeAt < TEMPORARY_HOME_MILLIS;
    homeCount = newHomeCount;
    if (home != (chosen || temporary)) {
      home = !home;
      LOG.atInfo()
          .setMessage(home ? "home_of_service" : "home_of_service_ended")
          .addKeyValue("service", spec.name())
          .addKeyValue("chosen", chosen)
          .addKeyValue("homes", newHomeCount)
          .log();
    }
  }

  /**
   * Makes this host a home for a while because it has to run a statement of the service, whether or
   * not it was chosen as a home.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void becomeTemporaryHome(long now) {
    servedAsHomeAt = now;
    updateHome(false, homeCount, now);
  }

  /**
   * Whether this host holds connections to the service's members.
   *
   * @return true if this host runs the service's statements itself
   */
  public boolean home() {
    return home;
  }

  /**
   * Returns the number of connections that each member accepts from all hosts together.
   *
   * @return the limit in force
   */
  public int maxConnections() {
    return spec.maxConnections();
  }

  /**
   * Returns the failure domains in which the members run.
   *
   * @return the failure domains
   */
  public Set<FailureDomain> failureDomains() {
    return failureDomains;
  }

  /**
   * Applies a newer configuration of the service.
   *
   * @param newer the configuration
   */
  public void configure(ServiceSpec newer) {
    spec = newer;
    view.requireReplicas(newer.synchronousReplicas());
    pools.values().forEach(pool -> pool.quota().limit(newer.maxConnections()));
  }

  /**
   * Replaces the registered members.
   *
   * @param entries one for each member
   */
  public void replaceMembers(Collection<MemberEntry> entries) {
    Map<MemberId, MemberEntry> byId = new LinkedHashMap<>();
    entries.forEach(entry -> byId.put(entry.id(), entry));
    List<MemberPool> removedPools = new ArrayList<>();
    for (MemberPool pool : new ArrayList<>(pools.values())) {
      MemberEntry newer = byId.get(pool.entry().id());
      if (newer == null || !newer.sameIncarnation(pool.entry())) {
        pools.remove(pool.entry().id());
        statusPoller.remove(pool.entry().id());
        evidence.remove(pool.entry().id());
        removedPools.add(pool);
        logMember("member_gone", pool.entry());
      }
    }
    for (MemberEntry entry : byId.values()) {
      MemberPool known = pools.get(entry.id());
      if (known != null) {
        known.update(entry);
      } else {
        pools.put(entry.id(), newPool(entry));
        logMember("member_found", entry);
      }
    }
    view.setMembers(byId.values(), clock.millis());
    failureDomains =
        byId.values().stream().map(MemberEntry::failureDomain).collect(Collectors.toSet());
    // Closing a pool fails its statements, which are placed again at once. So pools are closed
    // last, when the pool map and the view agree.
    removedPools.forEach(MemberPool::close);
    placer.dispatchWaiting();
  }

  private MemberPool newPool(MemberEntry entry) {
    ConnectionQuota quota = new ConnectionQuota(spec.maxConnections());
    return new MemberPool(loop, clock, self, protocol, entry, quota, this);
  }

  private static void logMember(String event, MemberEntry entry) {
    LOG.atInfo()
        .setMessage(event)
        .addKeyValue("service", entry.service())
        .addKeyValue("member", entry.id().value())
        .addKeyValue("address", entry.address())
        .addKeyValue("draining", entry.draining())
        .addKeyValue("role", entry.role())
        .log();
  }

  /**
   * Places a statement on a connection, at once or as soon as a suitable one becomes idle. If none
   * does before its deadline, {@link PlacementRequest#onNotPlaced} is called.
   *
   * @param request the statement's request
   */
  public void place(PlacementRequest request) {
    placer.place(request);
  }

  /**
   * Places a statement if a suitable connection is idle.
   *
   * @param request the statement's request
   * @return false if it was not placed; it does not wait then
   */
  public boolean placeOnIdle(PlacementRequest request) {
    return placer.placeOnIdle(request);
  }

  /**
   * Returns what is known of the members' speed and errors.
   *
   * @return the evidence, to be updated with each answer
   */
  public MemberEvidence evidence() {
    return evidence;
  }

  /**
   * Returns what places this service's statements.
   *
   * @return the placer
   */
  public StatementPlacer placer() {
    return placer;
  }

  private long roundTripMillis(MemberView member) {
    return distances.roundTripMillis(ownDomain, member.entry().failureDomain());
  }

  @Override
  public void onConnectionIdle(MemberPool pool) {
    pollIfDue(pool, clock.millis());
    placer.dispatchWaiting();
  }

  @Override
  public void onLost(MemberPool pool, LossCause cause) {
    boolean unreachable =
        cause == LossCause.REFUSED
            || cause == LossCause.CONNECT_TIMEOUT
            || cause == LossCause.ANSWER_TIMEOUT;
    if (!unreachable) {
      return;
    }
    MemberId id = pool.entry().id();
    boolean wasReachable = view.member(id).filter(m -> !m.unreachable()).isPresent();
    view.onUnreachable(id, cause == LossCause.REFUSED, clock.millis());
    if (wasReachable) {
      unreachableSince.put(id, clock.millis());
      LOG.atWarn()
          .setMessage("member_unreachable")
          .addKeyValue("service", spec.name())
          .addKeyValue("member", id.value())
          .addKeyValue("cause", cause)
          .log();
    }
  }

  /**
   * Runs the periodic work: opens and closes connections, aborts overdue exchanges, expires
   * statements that waited too long, and polls the members' status.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    view.tick(now);
    logLease(now);
    logReachableAgain(now);
    for (MemberPool pool : new ArrayList<>(pools.values())) {
      pool.quota().hosts(homeCount);
      pool.sweep(now);
      if (!home) {
        pool.closeIdle(now);
      } else if (pool.size() == 0) {
        pool.open();
      } else {
        pollIfDue(pool, now);
      }
    }
    placer.tick(now);
  }

  private void logLease(long now) {
    boolean leasedNow = home && view.leasedPrimary(now).isPresent();
    if (leased != leasedNow) {
      leased = leasedNow;
      LOG.atInfo()
          .setMessage(leased ? "primary_lease_started" : "primary_lease_ended")
          .addKeyValue("service", spec.name())
          .addKeyValue("primary", view.primary().map(m -> m.id().value()).orElse("-"))
          .addKeyValue("term", view.term())
          .addKeyValue("newest_term", view.newestTerm())
          .addKeyValue("covered_millis", Math.max(0, view.lease().coverageRemainingMillis(now)))
          .addKeyValue("change_announced", view.lease().changeAnnounced())
          .addKeyValue("members", view.members().size())
          .log();
    }
  }

  private void logReachableAgain(long now) {
    unreachableSince.keySet().removeIf(id -> view.member(id).isEmpty());
    for (MemberView member : view.members()) {
      if (!member.unreachable() && unreachableSince.containsKey(member.id())) {
        LOG.atInfo()
            .setMessage("member_regained")
            .addKeyValue("service", spec.name())
            .addKeyValue("member", member.id().value())
            .addKeyValue("away_millis", now - unreachableSince.remove(member.id()))
            .log();
      }
    }
  }

  private void pollIfDue(MemberPool pool, long now) {
    if (home && statusPoller.isDue(pool, placer.lacksConnections(), now)) {
      statusPoller.poll(pool);
    }
  }

  /** Fails all statements that wait for a connection; none of them has been sent. */
  public void failWaiting() {
    placer.close();
  }

  /**
   * Sends a control statement; the member replies with its status.
   *
   * @param pool the member's pool
   * @param text the statement
   * @param done receives the status; empty if no connection is idle or no status was received
   */
  public void sendControl(MemberPool pool, String text, Consumer<Optional<MemberStatus>> done) {
    statusPoller.sendControl(pool, text, done);
  }

  /**
   * Captures what decides whether a statement can be placed now.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return the snapshot
   */
  public PlacementSnapshot placementSnapshot(long now) {
    return new PlacementSnapshot(
        view.primary().map(m -> m.id().value()).orElse("-"),
        view.leaseMillis(now),
        view.millisWithoutPrimary(now),
        placer.waiting(),
        view.members().stream().filter(m -> !m.unreachable()).count(),
        view.members().stream().map(this::describeMember).collect(Collectors.joining(",")));
  }

  private String describeMember(MemberView member) {
    MemberPool pool = pools.get(member.id());
    String state = member.unreachable() ? ":unreachable" : "";
    return member.id().value() + ":" + pool.inUse() + "/" + pool.size() + state;
  }

  /**
   * Returns the number of statements waiting to be placed.
   *
   * @return the number
   */
  public int waiting() {
    return placer.waiting();
  }

  /**
   * Returns how many connections to members were opened.
   *
   * @return the number since this service was configured, for the members that it has now
   */
  public long connectionsOpened() {
    return pools.values().stream().mapToLong(MemberPool::opened).sum();
  }

  /**
   * Returns how many idle connections were closed in favour of another workspace.
   *
   * @return the number since this service was configured
   */
  public long connectionsReplaced() {
    return placer.replaced();
  }

  /**
   * Whether a statement forwarded by another host could be placed at once, or as soon as another
   * connection is open.
   *
   * @param primaryOnly whether only the primary can run it
   * @param workspace the workspace of the statement
   * @return true if no statement waits here, and a suitable connection is idle or may be opened
   */
  public boolean hasCapacity(boolean primaryOnly, Optional<WorkspaceId> workspace) {
    return placer.hasCapacity(primaryOnly, workspace);
  }

  /**
   * Closes all connections and fails the waiting statements; called when the service is no longer
   * configured.
   */
  public void close() {
    pools.values().forEach(MemberPool::close);
    placer.close();
  }
}
