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
import org.sardinebay.gateway.internal.connection.LossCause;
import org.sardinebay.gateway.internal.connection.MemberLink;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.request.Placeable;
import org.sardinebay.internal.connection.ConnectionAllowance;
import org.sardinebay.internal.process.DomainDistances;
import org.sardinebay.internal.request.Placement;
import org.sardinebay.internal.request.PlacementCandidate;
import org.sardinebay.internal.request.PlacementNeed;
import org.sardinebay.internal.request.WaitingLine;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.MemberStatus;
import org.sardinebay.session.ServiceSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One service as this host uses it: its view, the pools of its members, the statements that wait
 * for a place, and the regular questions for the members' status.
 *
 * <pre>{@code
 * runtime.place(statement);
 * runtime.tick(now);
 * }</pre>
 */
public final class ServiceRuntime implements MemberPool.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceRuntime.class);

  /**
   * How long a host that another one has asked to run statements keeps its connections, in
   * milliseconds: that host holds it for a home.
   */
  private static final long ASKED_AS_HOME_MILLIS = 10_000;

  private final Eventloop loop;
  private final Clock clock;
  private final HostId self;
  private final FailureDomain here;
  private final DomainDistances distances;
  private final MemberProtocol protocol;
  private final ServiceView view;
  private final Map<MemberId, MemberPool> pools = new LinkedHashMap<>();
  private final StatusQuestions questions;
  private final WaitingLine<Placeable> waiting = new WaitingLine<>();
  private final Map<MemberId, Long> lostAt = new HashMap<>();
  private Set<FailureDomain> failureDomains = Set.of();
  private ServiceSpec spec;
  private boolean serving;
  private boolean home = true;
  private int sharers = 1;
  private long askedAsHomeAt = Long.MIN_VALUE / 2;

  /**
   * A service with no members yet.
   *
   * @param loop the loop that it runs on
   * @param clock the clock
   * @param self this host
   * @param here this host's failure domain
   * @param distances how far failure domains are from each other
   * @param protocol the members' protocol
   * @param spec the service's configuration
   */
  public ServiceRuntime(
      Eventloop loop,
      Clock clock,
      HostId self,
      FailureDomain here,
      DomainDistances distances,
      MemberProtocol protocol,
      ServiceSpec spec) {
    this.loop = loop;
    this.clock = clock;
    this.self = self;
    this.here = here;
    this.distances = distances;
    this.protocol = protocol;
    this.spec = spec;
    this.view = new ServiceView(spec.name(), clock.millis());
    this.questions = new StatusQuestions(view, protocol, this::distanceMillis, clock);
  }

  /**
   * What is believed of the service.
   *
   * @return the view
   */
  public ServiceView view() {
    return view;
  }

  /**
   * The pool of a member.
   *
   * @param member the member
   * @return the pool, empty if the member is not registered
   */
  public Optional<MemberPool> pool(MemberId member) {
    return Optional.ofNullable(pools.get(member));
  }

  /**
   * Takes over whether this host is a home of the service: holds connections to its members.
   *
   * @param chosen whether it is one of the hosts chosen
   * @param sharersOfLimit how many hosts share the members' connections
   * @param now the time
   */
  public void home(boolean chosen, int sharersOfLimit, long now) {
    boolean asked = now - askedAsHomeAt < ASKED_AS_HOME_MILLIS;
    sharers = sharersOfLimit;
    if (home != (chosen || asked)) {
      home = !home;
      LOG.atInfo()
          .setMessage(home ? "home_of_service" : "home_of_service_ended")
          .addKeyValue("service", spec.name())
          .addKeyValue("chosen", chosen)
          .addKeyValue("homes", sharersOfLimit)
          .log();
    }
  }

  /**
   * Notes that this host is to run a statement of the service, chosen as a home or not.
   *
   * @param now the time
   */
  public void serveAsHome(long now) {
    askedAsHomeAt = now;
    home(false, sharers, now);
  }

  /**
   * Whether this host holds connections to the service's members.
   *
   * @return true if it runs the service's statements itself
   */
  public boolean home() {
    return home;
  }

  /**
   * Connections that each member accepts from all hosts together.
   *
   * @return the limit in force
   */
  public int maxConnections() {
    return spec.maxConnections();
  }

  /**
   * Where the service's members stand.
   *
   * @return their failure domains
   */
  public Set<FailureDomain> failureDomains() {
    return failureDomains;
  }

  /**
   * Takes over a newer configuration of the service.
   *
   * @param newer the configuration
   */
  public void configure(ServiceSpec newer) {
    spec = newer;
    pools.values().forEach(pool -> pool.allowance().limit(newer.maxConnections()));
  }

  /**
   * Takes over the registered members.
   *
   * @param entries one for each member
   */
  public void members(Collection<MemberEntry> entries) {
    Map<MemberId, MemberEntry> byId = new LinkedHashMap<>();
    entries.forEach(entry -> byId.put(entry.id(), entry));
    List<MemberPool> gone = new ArrayList<>();
    for (MemberPool pool : new ArrayList<>(pools.values())) {
      MemberEntry newer = byId.get(pool.entry().id());
      if (newer == null || !newer.sameIncarnation(pool.entry())) {
        pools.remove(pool.entry().id());
        questions.forget(pool.entry().id());
        gone.add(pool);
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
    // Closing a pool ends statements, which look for another place at once: only now that pools and
    // view agree.
    gone.forEach(MemberPool::close);
    serveWaiting();
  }

  private MemberPool newPool(MemberEntry entry) {
    ConnectionAllowance allowance = new ConnectionAllowance(spec.maxConnections());
    return new MemberPool(loop, clock, self, protocol, entry, allowance, this);
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
   * Finds a link for a statement, now or when one becomes free.
   *
   * @param statement the statement
   */
  public void place(Placeable statement) {
    if (!tryPlace(statement)) {
      waiting.add(statement, statement.priority(), statement.giveUpAt());
    }
  }

  private boolean tryPlace(Placeable statement) {
    PlacementNeed need = statement.need();
    long now = clock.millis();
    Optional<MemberId> best = choose(statement, need, now, false);
    if (best.isPresent() && !pools.get(best.get()).hasIdle()) {
      pools.get(best.get()).open();
      best = choose(statement, need, now, true);
    }
    if (best.isEmpty()) {
      return false;
    }
    MemberPool pool = pools.get(best.get());
    MemberLink link = pool.lend(statement.values()).orElseThrow();
    statement.onLink(pool, link, need, isUsablePrimary(best.get(), now));
    return true;
  }

  private Optional<MemberId> choose(
      Placeable statement, PlacementNeed need, long now, boolean idleOnly) {
    List<PlacementCandidate> candidates = new ArrayList<>();
    for (MemberView member : view.members()) {
      MemberPool pool = pools.get(member.id());
      boolean draining = member.entry().draining() && !isUsablePrimary(member.id(), now);
      candidates.add(
          new PlacementCandidate(
              member.id(),
              isUsablePrimary(member.id(), now),
              pool.hasIdle() || (!idleOnly && pool.mayOpen()),
              distanceMillis(member),
              questions.othersBusy(member.id()) + pool.lent(),
              member.entry().slots(),
              member.applied(),
              draining || member.failing() || statement.excluded().contains(member.id())));
    }
    return Placement.choose(need, candidates);
  }

  private long distanceMillis(MemberView member) {
    return distances.distanceMillis(here, member.entry().failureDomain());
  }

  private boolean isUsablePrimary(MemberId member, long now) {
    return view.usablePrimary(now).filter(m -> m.id().equals(member)).isPresent();
  }

  @Override
  public void onCapacity(MemberPool pool) {
    askIfDue(pool, clock.millis());
    serveWaiting();
  }

  private void serveWaiting() {
    if (serving || waiting.size() == 0) {
      return;
    }
    serving = true;
    try {
      waiting.serve(this::tryPlace);
    } finally {
      serving = false;
    }
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
    boolean first = view.member(id).filter(m -> !m.failing()).isPresent();
    view.onUnreachable(id, cause == LossCause.REFUSED, clock.millis());
    if (first) {
      lostAt.put(id, clock.millis());
      LOG.atWarn()
          .setMessage("member_unreachable")
          .addKeyValue("service", spec.name())
          .addKeyValue("member", id.value())
          .addKeyValue("cause", cause)
          .log();
    }
  }

  /**
   * Does what time demands: overdue answers, statements that waited too long, status questions.
   *
   * @param now the time
   */
  public void tick(long now) {
    view.tick(now);
    logRegained(now);
    for (MemberPool pool : new ArrayList<>(pools.values())) {
      pool.allowance().hosts(sharers);
      pool.sweep(now);
      if (!home) {
        pool.dropIdle(now);
      } else if (pool.size() == 0) {
        pool.open();
      } else {
        askIfDue(pool, now);
      }
    }
    waiting.expire(now).forEach(Placeable::onNoPlace);
    serveWaiting();
  }

  private void logRegained(long now) {
    lostAt.keySet().removeIf(id -> view.member(id).isEmpty());
    for (MemberView member : view.members()) {
      if (!member.failing() && lostAt.containsKey(member.id())) {
        LOG.atInfo()
            .setMessage("member_regained")
            .addKeyValue("service", spec.name())
            .addKeyValue("member", member.id().value())
            .addKeyValue("away_millis", now - lostAt.remove(member.id()))
            .log();
      }
    }
  }

  private void askIfDue(MemberPool pool, long now) {
    if (home && questions.due(pool, waiting.size() > 0, now)) {
      questions.ask(pool);
    }
  }

  /**
   * Sends a control statement, which a member answers with its status.
   *
   * @param pool the member's pool
   * @param text the statement
   * @param done takes the status, empty if there was none
   */
  public void control(MemberPool pool, String text, Consumer<Optional<MemberStatus>> done) {
    questions.control(pool, text, done);
  }

  /**
   * What decides now whether a statement finds a place.
   *
   * @param now the time
   * @return the facts
   */
  public PlaceFacts placeFacts(long now) {
    return new PlaceFacts(
        view.primary().map(m -> m.id().value()).orElse("-"),
        view.leaseMillis(now),
        view.unusableMillis(now),
        waiting.size(),
        view.members().stream().filter(m -> !m.failing()).count(),
        view.members().stream().map(this::placeFacts).collect(Collectors.joining(",")));
  }

  private String placeFacts(MemberView member) {
    MemberPool pool = pools.get(member.id());
    String state = member.failing() ? ":unreachable" : "";
    return member.id().value() + ":" + pool.lent() + "/" + pool.size() + state;
  }

  /**
   * Statements that wait for a place.
   *
   * @return how many
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Whether a statement of another host could be placed at once.
   *
   * @param primaryOnly whether only the primary can run it
   * @return true if nothing waits here and a link is idle
   */
  public boolean hasRoom(boolean primaryOnly) {
    long now = clock.millis();
    return waiting.size() == 0
        && view.members().stream()
            .filter(member -> !member.failing())
            .filter(member -> !primaryOnly || isUsablePrimary(member.id(), now))
            .anyMatch(member -> pools.get(member.id()).hasIdle());
  }

  /** Gives all links up: the service is not configured any more. */
  public void close() {
    pools.values().forEach(MemberPool::close);
    waiting.expire(Long.MAX_VALUE).forEach(Placeable::onNoPlace);
  }
}
