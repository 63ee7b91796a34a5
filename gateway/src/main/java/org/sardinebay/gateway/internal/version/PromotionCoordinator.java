package org.sardinebay.gateway.internal.version;

import io.activej.eventloop.Eventloop;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.internal.version.ChangeStep;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.PrimaryChange;
import org.sardinebay.internal.version.PrimaryChangeNeed;
import org.sardinebay.internal.version.PromotionLeaseClaim;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.PromotionClient;
import org.sardinebay.session.PromotionOrder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Replaces primaries: detects services that need a new primary, acquires the promotion lease, and
 * carries out the changes.
 *
 * <pre>{@code
 * coordinator.tick(now);
 * }</pre>
 */
public final class PromotionCoordinator {
  private static final Logger LOG = LoggerFactory.getLogger(PromotionCoordinator.class);

  /** Time that must be left of the promotion lease before an order is sent, in milliseconds. */
  private static final long ORDER_LEASE_MILLIS = 900;

  /**
   * How long before an order the lease is renewed, in milliseconds: enough for one lost answer and
   * a second attempt.
   */
  private static final long RENEWAL_LEAD_MILLIS = 450;

  /**
   * An order times out, and its connection is reset, this long before the lease ends, in
   * milliseconds.
   */
  private static final long ORDER_MARGIN_MILLIS = 150;

  /**
   * After a stuck change, how long this host does not start another one of the same service, in
   * milliseconds: longer than another host needs to take over the lease and to fence the members.
   */
  private static final long BACKOFF_MILLIS = 8_000;

  /** Interval at which a former primary is told to become a replica, in milliseconds. */
  private static final long DEMOTE_REPEAT_MILLIS = 1_000;

  private final Services services;
  private final PeerReachability reachability;
  private final ChangeAnnouncements announcements;
  private final Runnable refreshMembers;
  private final PromotionLease lease;
  private final PromotionClient orders;
  private final MemberProtocol protocol;
  private final HostId self;
  private final MeterRegistry registry;
  private final Eventloop loop;
  private final Clock clock;
  private final Map<String, PrimaryChange> changes = new HashMap<>();
  private final Map<String, PrimaryChangeNeed.Cause> loggedCauses = new HashMap<>();
  private final Map<String, PrimaryChange.Phase> loggedPhases = new HashMap<>();
  private final Map<String, Long> backoffUntil = new HashMap<>();
  private final Map<MemberId, Long> demotedAt = new HashMap<>();
  private final Set<String> deferredServices = new HashSet<>();
  private final Set<String> waitingServices = new HashSet<>();

  /**
   * What a change of primary needs of the store.
   *
   * @param client the store that holds the record of the promotion lease
   * @param era the store's era
   * @param announcements announces the changes to all hosts
   * @param refreshMembers lists the members in the store, called on each tick during a change
   */
  public record StoreAccess(
      PlatformClient client,
      StoreEra era,
      ChangeAnnouncements announcements,
      Runnable refreshMembers) {}

  /**
   * Creates a coordinator that does not hold the lease.
   *
   * @param services the services
   * @param reachability what other hosts report of members that this host can't reach
   * @param store what a change needs of the store
   * @param orders sends promotion orders to the platform
   * @param protocol the members' protocol
   * @param self this host
   * @param incarnation identifies this start of the process
   * @param loop the event loop that the coordinator runs on
   * @param clock the clock
   * @param registry the registry that counts the phases of changes
   */
  public PromotionCoordinator(
      Services services,
      PeerReachability reachability,
      StoreAccess store,
      PromotionClient orders,
      MemberProtocol protocol,
      HostId self,
      String incarnation,
      Eventloop loop,
      Clock clock,
      MeterRegistry registry) {
    this.services = services;
    this.reachability = reachability;
    this.announcements = store.announcements();
    this.refreshMembers = store.refreshMembers();
    this.orders = orders;
    this.protocol = protocol;
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.registry = registry;
    PromotionLeaseClaim claim = new PromotionLeaseClaim(self.value(), incarnation, store.era());
    this.lease = new PromotionLease(store.client(), claim, loop, clock);
  }

  /**
   * Checks all services, and advances the changes in progress.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    changes.keySet().removeIf(name -> services.service(name).isEmpty());
    loggedPhases.keySet().retainAll(changes.keySet());
    if (!changes.isEmpty()) {
      refreshMembers.run();
    }
    for (ServiceRuntime service : services.all()) {
      PrimaryChange change = changes.get(service.view().service());
      if (change == null && service.home()) {
        demoteFormer(service, now);
        reachability.queryPeers(service, now);
        startChangeIfNeeded(service, now);
      } else if (change != null) {
        if (change.phase() == PrimaryChange.Phase.TAKING_OVER) {
          reachability.queryPeers(service, now);
        }
        advance(service, change, now);
      }
    }
  }

  /**
   * Makes a replaced primary a replica. The former primary also becomes one by itself once it
   * reaches its successor, but a network partition between the two may last longer than one between
   * the former primary and this host.
   */
  private void demoteFormer(ServiceRuntime service, long now) {
    ServiceView view = service.view();
    Optional<MemberView> former = view.formerPrimary().filter(m -> !m.unreachable());
    if (former.isEmpty() || view.leasedPrimary(now).isEmpty()) {
      return;
    }
    MemberId id = former.get().id();
    if (now - demotedAt.getOrDefault(id, Long.MIN_VALUE / 2) < DEMOTE_REPEAT_MILLIS) {
      return;
    }
    demotedAt.put(id, now);
    log("former_primary_demoted", view).addKeyValue("member", id.value()).log();
    sendControl(service, id, protocol.demoteText(view.term()));
  }

  private void startChangeIfNeeded(ServiceRuntime service, long now) {
    ServiceView view = service.view();
    Optional<PrimaryChangeNeed.Cause> cause = PrimaryChangeNeed.of(view, now);
    if (cause.isEmpty()) {
      loggedCauses.remove(view.service());
      deferredServices.remove(view.service());
      if (PrimaryChangeNeed.suspected(view, now)) {
        lease.observe();
      }
      return;
    }
    if (loggedCauses.put(view.service(), cause.get()) != cause.get()) {
      log("primary_change_needed", view)
          .addKeyValue("cause", cause.get())
          .addKeyValue("primary", view.primary().map(m -> m.id().value()).orElse("-"))
          .addKeyValue("holder", lease.claim().holder().orElse("-"))
          .addKeyValue("statuses", statuses(view))
          .log();
    }
    if (reachedElsewhere(service, now)) {
      return;
    }
    if (now < backoffUntil.getOrDefault(view.service(), Long.MIN_VALUE)
        || !lease.ensureHeldFor(PrimaryChange.STEP_LEASE_MILLIS)) {
      return;
    }
    boolean planned =
        cause.get() == PrimaryChangeNeed.Cause.LEAVING
            && view.primary().filter(m -> !m.unreachable()).isPresent();
    MemberId oldPrimary = view.primary().map(MemberView::id).orElse(new MemberId("none"));
    boolean begunEarlier = view.fencedAbove(view.term()) || view.lease().changeAnnounced();
    PrimaryChange change =
        new PrimaryChange(
            lease.claim(),
            oldPrimary,
            planned,
            begunEarlier,
            view.newestTerm(),
            view.lease().nextTerm(),
            now);
    changes.put(view.service(), change);
    log("primary_change_started", view)
        .addKeyValue("cause", cause.get())
        .addKeyValue("old", oldPrimary.value())
        .addKeyValue("next_term", change.nextTerm())
        .addKeyValue("token", lease.claim().token())
        .log();
  }

  private boolean reachedElsewhere(ServiceRuntime service, long now) {
    List<MemberId> reached = reachability.reachedElsewhere(service, now);
    ServiceView view = service.view();
    if (!reached.isEmpty() && deferredServices.add(view.service())) {
      log("primary_change_held", view)
          .addKeyValue("primary", view.primary().map(m -> m.id().value()).orElse("-"))
          .addKeyValue(
              "reached_elsewhere",
              reached.stream().map(MemberId::value).collect(Collectors.joining(",")))
          .addKeyValue("newest_term", view.newestTerm())
          .log();
    } else if (reached.isEmpty()) {
      deferredServices.remove(view.service());
    }
    return !reached.isEmpty();
  }

  private static String statuses(ServiceView view) {
    return view.members().stream()
        .map(m -> m.id().value() + ":" + m.status().map(Object::toString).orElse("-"))
        .collect(Collectors.joining(";"));
  }

  private void advance(ServiceRuntime service, PrimaryChange change, long now) {
    ServiceView view = service.view();
    boolean promotionDueSoon = change.promotionDueInMillis(view, now) <= RENEWAL_LEAD_MILLIS;
    boolean unused =
        lease.ensureHeldFor(
            promotionDueSoon ? ORDER_LEASE_MILLIS : PrimaryChange.STEP_LEASE_MILLIS);
    if (change.oldPrimaryBack(view)) {
      perform(service, change, change.giveUp(view, now));
    } else if (change.stuck(view, now)) {
      log("primary_change_stuck", view).addKeyValue("statuses", statuses(view)).log();
      backoffUntil.put(view.service(), now + BACKOFF_MILLIS);
      perform(service, change, change.handOver(view, now));
    }
    perform(service, change, change.next(view, now));
    logPhase(view, change);
    logWait(view, change);
    if (change.ended()) {
      changes.remove(view.service());
    }
  }

  private void logWait(ServiceView view, PrimaryChange change) {
    if (!change.waitsForReplicas(view)) {
      waitingServices.remove(view.service());
    } else if (waitingServices.add(view.service())) {
      log("primary_change_waits_for_replicas", view)
          .addKeyValue("required", view.synchronousReplicas())
          .addKeyValue("departed", view.departedReplicas().size())
          .addKeyValue("statuses", statuses(view))
          .log();
    }
  }

  private void logPhase(ServiceView view, PrimaryChange change) {
    if (loggedPhases.put(view.service(), change.phase()) != change.phase()) {
      registry.counter("sardinebay_primary_changes", "phase", change.phase().name()).increment();
      log("primary_change_phase", view)
          .addKeyValue("phase", change.phase())
          .addKeyValue("next_term", change.nextTerm())
          .addKeyValue("target", change.target().map(MemberId::value).orElse("-"))
          .addKeyValue("from", change.takeoverPosition().map(Object::toString).orElse("-"))
          .addKeyValue("newest_term", view.newestTerm())
          .addKeyValue("lease_millis", lease.claim().remainingMillis(clock.millis()))
          .log();
    }
  }

  private void perform(ServiceRuntime service, PrimaryChange change, List<ChangeStep> steps) {
    for (ChangeStep step : steps) {
      if (step instanceof ChangeStep.Promote promote) {
        sendOrder(service, change, promote.member());
      } else if (step instanceof ChangeStep.Fence fence) {
        fence(service, change, fence);
      } else if (step instanceof ChangeStep.Demote demote) {
        sendControl(service, demote.member(), protocol.demoteText(demote.term()));
      } else if (step instanceof ChangeStep.Unfence unfence) {
        sendControl(service, unfence.member(), protocol.unfenceText());
      } else if (step instanceof ChangeStep.QueryStatus query) {
        sendControl(service, query.member(), protocol.statusText());
      } else if (step instanceof ChangeStep.Announce announce) {
        long token = lease.claim().token();
        announcements.announce(
            service.view().service(),
            announce.term(),
            token,
            () -> holdsLease(token),
            announced -> onAnnounced(change, announced));
      } else if (step instanceof ChangeStep.Withdraw withdraw) {
        long token = lease.claim().token();
        announcements.withdraw(
            service.view().service(), withdraw.term(), token, () -> holdsLease(token));
      }
    }
  }

  private void onAnnounced(PrimaryChange change, boolean announced) {
    if (announced) {
      change.onAnnounced(clock.millis());
    } else {
      change.onOtherAnnouncement(clock.millis());
    }
  }

  private boolean holdsLease(long token) {
    return lease.claim().token() == token && lease.claim().remainingMillis(clock.millis()) > 0;
  }

  private void fence(ServiceRuntime service, PrimaryChange change, ChangeStep.Fence step) {
    Optional<MemberPool> pool = service.pool(step.member());
    if (pool.isEmpty()) {
      return;
    }
    service.sendControl(
        pool.get(),
        protocol.fenceText(step.term()),
        status -> status.ifPresent(s -> change.onFenced(step.member(), s, clock.millis())));
  }

  private void sendControl(ServiceRuntime service, MemberId member, String text) {
    service.pool(member).ifPresent(pool -> service.sendControl(pool, text, status -> {}));
  }

  private void sendOrder(ServiceRuntime service, PrimaryChange change, MemberId member) {
    if (!lease.ensureHeldFor(ORDER_LEASE_MILLIS)) {
      change.onPromotionOrdered(PromotionClient.Outcome.REFUSED, clock.millis());
      return;
    }
    PromotionOrder order =
        new PromotionOrder(service.view().service(), member, self, lease.claim().token());
    long timeout = lease.claim().remainingMillis(clock.millis()) - ORDER_MARGIN_MILLIS;
    CompletableFuture<Void> unused =
        orders
            .promote(order, timeout)
            .thenAccept(
                outcome -> loop.execute(() -> onOrderResult(service, change, order, outcome)));
  }

  private void onOrderResult(
      ServiceRuntime service,
      PrimaryChange change,
      PromotionOrder order,
      PromotionClient.Outcome outcome) {
    log("promotion_ordered", service.view())
        .addKeyValue("member", order.member().value())
        .addKeyValue("token", order.token())
        .addKeyValue("outcome", outcome)
        .log();
    change.onPromotionOrdered(outcome, clock.millis());
  }

  private static LoggingEventBuilder log(String event, ServiceView view) {
    return LOG.atInfo()
        .setMessage(event)
        .addKeyValue("service", view.service())
        .addKeyValue("term", view.term());
  }
}
