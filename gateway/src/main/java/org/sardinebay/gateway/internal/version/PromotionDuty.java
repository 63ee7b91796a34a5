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
import org.sardinebay.internal.version.DutyClaim;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.PrimaryChange;
import org.sardinebay.internal.version.PrimaryChangeNeed;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.PromotionCall;
import org.sardinebay.session.PromotionOrder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Replaces primaries: watches for services that need another one, claims the duty, and drives the
 * changes.
 *
 * <pre>{@code
 * duty.tick(now);
 * }</pre>
 */
public final class PromotionDuty {
  private static final Logger LOG = LoggerFactory.getLogger(PromotionDuty.class);

  /** What must be left of the right to order, in milliseconds, before an order is sent. */
  private static final long ORDER_RIGHT_MILLIS = 900;

  /**
   * How long before an order the right to it is renewed, in milliseconds: time for an answer that
   * is lost, and another one.
   */
  private static final long RENEWAL_LEAD_MILLIS = 450;

  /** The order's connection is reset this long before the right ends, in milliseconds. */
  private static final long ORDER_MARGIN_MILLIS = 150;

  /** What must be left of the right during a change, in milliseconds, so that others keep off. */
  private static final long CHANGE_RIGHT_MILLIS = 400;

  /**
   * How long this host leaves a service to another driver, in milliseconds: above the time after
   * which another host takes the duty over, and its fence.
   */
  private static final long HANDED_OVER_MILLIS = 8_000;

  /** How often a former primary is told to follow, in milliseconds. */
  private static final long DEMOTE_REPEAT_MILLIS = 1_000;

  private final Services services;
  private final PeerEvidence evidence;
  private final DutyRecord record;
  private final PromotionCall orders;
  private final MemberProtocol protocol;
  private final HostId self;
  private final MeterRegistry registry;
  private final Eventloop loop;
  private final Clock clock;
  private final Map<String, PrimaryChange> changes = new HashMap<>();
  private final Map<String, PrimaryChangeNeed.Cause> needs = new HashMap<>();
  private final Map<String, PrimaryChange.Phase> loggedPhases = new HashMap<>();
  private final Map<String, Long> handedOverUntil = new HashMap<>();
  private final Map<MemberId, Long> demotedAt = new HashMap<>();
  private final Set<String> held = new HashSet<>();

  /**
   * A duty that nobody holds yet.
   *
   * @param services the services
   * @param evidence what other hosts say of primaries that this one can't reach
   * @param store the store that keeps the record of the holder
   * @param orders the platform's call
   * @param protocol the members' protocol
   * @param self this host
   * @param incarnation the start of this process
   * @param loop the loop that it runs on
   * @param clock the clock
   * @param registry where the steps of changes are counted
   */
  public PromotionDuty(
      Services services,
      PeerEvidence evidence,
      PlatformClient store,
      PromotionCall orders,
      MemberProtocol protocol,
      HostId self,
      String incarnation,
      Eventloop loop,
      Clock clock,
      MeterRegistry registry) {
    this.services = services;
    this.evidence = evidence;
    this.orders = orders;
    this.protocol = protocol;
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.registry = registry;
    this.record = new DutyRecord(store, new DutyClaim(self.value(), incarnation), loop, clock);
  }

  /**
   * Looks after all services.
   *
   * @param now the time
   */
  public void tick(long now) {
    for (ServiceRuntime service : services.all()) {
      PrimaryChange change = changes.get(service.view().service());
      if (change == null && service.home()) {
        demoteFormer(service, now);
        evidence.collect(service, now);
        considerChange(service, now);
      } else if (change != null) {
        drive(service, change, now);
      }
    }
  }

  /**
   * Makes a replaced primary a replica. It also follows by itself once it reaches its successor; a
   * cut between the two may last longer than one between it and this host.
   */
  private void demoteFormer(ServiceRuntime service, long now) {
    ServiceView view = service.view();
    Optional<MemberView> former = view.formerPrimary().filter(m -> !m.failing());
    if (former.isEmpty() || view.usablePrimary(now).isEmpty()) {
      return;
    }
    MemberId id = former.get().id();
    if (now - demotedAt.getOrDefault(id, Long.MIN_VALUE / 2) < DEMOTE_REPEAT_MILLIS) {
      return;
    }
    demotedAt.put(id, now);
    log("former_primary_demoted", view).addKeyValue("member", id.value()).log();
    control(service, id, protocol.demoteText(view.term()));
  }

  private void considerChange(ServiceRuntime service, long now) {
    ServiceView view = service.view();
    Optional<PrimaryChangeNeed.Cause> cause = PrimaryChangeNeed.of(view, now);
    if (cause.isEmpty()) {
      needs.remove(view.service());
      held.remove(view.service());
      if (PrimaryChangeNeed.suspected(view, now)) {
        record.observe();
      }
      return;
    }
    if (needs.put(view.service(), cause.get()) != cause.get()) {
      log("primary_change_needed", view)
          .addKeyValue("cause", cause.get())
          .addKeyValue("primary", view.primary().map(m -> m.id().value()).orElse("-"))
          .addKeyValue("holder", record.claim().holder().orElse("-"))
          .addKeyValue("statuses", statuses(view))
          .log();
    }
    if (cause.get() == PrimaryChangeNeed.Cause.SILENT && othersReachPrimary(service, now)) {
      return;
    }
    if (now < handedOverUntil.getOrDefault(view.service(), Long.MIN_VALUE)
        || !record.ensureRight(CHANGE_RIGHT_MILLIS)) {
      return;
    }
    boolean planned =
        cause.get() == PrimaryChangeNeed.Cause.LEAVING
            && view.primary().filter(m -> !m.failing()).isPresent();
    MemberId old = view.primary().map(MemberView::id).orElse(new MemberId("none"));
    boolean inherited = view.fencedAbove(view.term());
    PrimaryChange change = new PrimaryChange(old, planned, inherited, view.newestTerm() + 1, now);
    changes.put(view.service(), change);
    log("primary_change_started", view)
        .addKeyValue("cause", cause.get())
        .addKeyValue("old", old.value())
        .addKeyValue("next_term", change.nextTerm())
        .addKeyValue("token", record.claim().token())
        .log();
  }

  private boolean othersReachPrimary(ServiceRuntime service, long now) {
    boolean reached = evidence.speaksForPrimary(service, now);
    ServiceView view = service.view();
    if (reached && held.add(view.service())) {
      log("primary_change_held", view)
          .addKeyValue("primary", view.primary().map(m -> m.id().value()).orElse("-"))
          .log();
    } else if (!reached) {
      held.remove(view.service());
    }
    return reached;
  }

  private static String statuses(ServiceView view) {
    return view.members().stream()
        .map(m -> m.id().value() + ":" + m.status().map(Object::toString).orElse("-"))
        .collect(Collectors.joining(";"));
  }

  private void drive(ServiceRuntime service, PrimaryChange change, long now) {
    ServiceView view = service.view();
    boolean primaryBack =
        view.primary()
            .filter(m -> !m.failing() && !m.entry().draining() && view.term() < change.nextTerm())
            .isPresent();
    if (change.revocable() && primaryBack) {
      perform(service, change, change.giveUp(view, now));
    } else if (change.stuck(view, now)) {
      log("primary_change_stuck", view).addKeyValue("statuses", statuses(view)).log();
      handedOverUntil.put(view.service(), now + HANDED_OVER_MILLIS);
      perform(service, change, change.giveUp(view, now));
    }
    if (view.term() >= change.nextTerm() && change.phase() != PrimaryChange.Phase.TAKING_OVER) {
      changes.remove(view.service());
      return;
    }
    boolean orderNear = change.orderDueInMillis(now) <= RENEWAL_LEAD_MILLIS;
    boolean longRight = record.ensureRight(orderNear ? ORDER_RIGHT_MILLIS : CHANGE_RIGHT_MILLIS);
    if (longRight || record.claim().rightMillis(now) >= CHANGE_RIGHT_MILLIS) {
      perform(service, change, change.next(view, now));
    }
    logPhase(view, change);
    if (change.phase() == PrimaryChange.Phase.DONE
        || change.phase() == PrimaryChange.Phase.GIVEN_UP) {
      changes.remove(view.service());
      loggedPhases.remove(view.service());
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
          .log();
    }
  }

  private void perform(
      ServiceRuntime service, PrimaryChange change, List<PrimaryChange.Step> steps) {
    for (PrimaryChange.Step step : steps) {
      if (step instanceof PrimaryChange.Step.Order order) {
        order(service, change, order.member());
      } else if (step instanceof PrimaryChange.Step.Fence fence) {
        fence(service, change, fence);
      } else if (step instanceof PrimaryChange.Step.Demote demote) {
        control(service, demote.member(), protocol.demoteText(demote.term()));
      } else if (step instanceof PrimaryChange.Step.Unfence unfence) {
        control(service, unfence.member(), protocol.unfenceText());
      } else if (step instanceof PrimaryChange.Step.Look look) {
        control(service, look.member(), protocol.statusText());
      }
    }
  }

  private void fence(ServiceRuntime service, PrimaryChange change, PrimaryChange.Step.Fence step) {
    Optional<MemberPool> pool = service.pool(step.member());
    if (pool.isEmpty()) {
      return;
    }
    service.control(
        pool.get(),
        protocol.fenceText(step.term()),
        status -> status.ifPresent(s -> change.onFenced(step.member(), s, clock.millis())));
  }

  private void control(ServiceRuntime service, MemberId member, String text) {
    service.pool(member).ifPresent(pool -> service.control(pool, text, status -> {}));
  }

  private void order(ServiceRuntime service, PrimaryChange change, MemberId member) {
    if (!record.ensureRight(ORDER_RIGHT_MILLIS)) {
      change.onOrdered(PromotionCall.Outcome.REFUSED, clock.millis());
      return;
    }
    PromotionOrder order =
        new PromotionOrder(service.view().service(), member, self, record.claim().token());
    long timeout = record.claim().rightMillis(clock.millis()) - ORDER_MARGIN_MILLIS;
    CompletableFuture<Void> unused =
        orders
            .promote(order, timeout)
            .thenAccept(outcome -> loop.execute(() -> ordered(service, change, order, outcome)));
  }

  private void ordered(
      ServiceRuntime service,
      PrimaryChange change,
      PromotionOrder order,
      PromotionCall.Outcome outcome) {
    log("promotion_ordered", service.view())
        .addKeyValue("member", order.member().value())
        .addKeyValue("token", order.token())
        .addKeyValue("outcome", outcome)
        .log();
    change.onOrdered(outcome, clock.millis());
  }

  private static LoggingEventBuilder log(String event, ServiceView view) {
    return LOG.atInfo()
        .setMessage(event)
        .addKeyValue("service", view.service())
        .addKeyValue("term", view.term());
  }
}
