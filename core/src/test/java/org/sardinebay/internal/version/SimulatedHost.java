package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberStatus;
import org.sardinebay.session.PromotionClient;

/**
 * A host of a {@link SimulatedService}: its view of the service, its lease on the primary and the
 * changes of primary that it drives are the real classes. Only the calls are simulated.
 */
final class SimulatedHost {
  private static final long TICK_MILLIS = 50;
  private static final long POLL_MILLIS = 250;
  private static final long POLL_TIMEOUT_MILLIS = 700;
  private static final long STORE_TIMEOUT_MILLIS = 300;
  private static final long ORDER_LEASE_MILLIS = 900;
  private static final long MEMBERS_INTERVAL_MILLIS = 4_000;
  private static final long DRIVER_MEMBERS_INTERVAL_MILLIS = 1_000;
  private static final long ANNOUNCEMENTS_INTERVAL_MILLIS = 400;

  private final SimulatedService service;
  private final String name;
  private ServiceView view;
  private MemberDirectory directory;
  private ReachabilityReports reports;
  private PromotionLeaseClaim claim;
  private Optional<PrimaryChange> change;
  private Map<MemberId, Long> polledAt;
  private boolean callingLease;
  private boolean writing;
  private long membersAskedAt;
  private long announcementsAskedAt;
  private int life;
  private boolean running;
  private boolean paused;

  SimulatedHost(SimulatedService service, String name) {
    this.service = service;
    this.name = name;
  }

  String name() {
    return name;
  }

  void start() {
    life++;
    running = true;
    paused = false;
    view = new ServiceView("orders", service.now());
    directory = new MemberDirectory();
    reports = new ReachabilityReports();
    claim = new PromotionLeaseClaim(name, "life-" + life, new StoreEra(() -> service.now()));
    change = Optional.empty();
    polledAt = new HashMap<>();
    callingLease = false;
    writing = false;
    membersAskedAt = Long.MIN_VALUE / 2;
    announcementsAskedAt = Long.MIN_VALUE / 2;
    tick();
  }

  void stop() {
    life++;
    running = false;
  }

  void pause(boolean stopped) {
    paused = stopped;
  }

  /** The term of the primary that this host would use now. */
  OptionalLong termInUse() {
    return running && !paused && view.leasedPrimary(service.now()).isPresent()
        ? OptionalLong.of(view.term())
        : OptionalLong.empty();
  }

  boolean reaches(MemberId member) {
    return running && !paused && view.member(member).filter(m -> !m.unreachable()).isPresent();
  }

  private Runnable inThisLife(Runnable action) {
    int scheduled = life;
    return () -> {
      if (scheduled == life) {
        resume(scheduled, action);
      }
    };
  }

  /** What arrives at a host that is paused is handled when it goes on. */
  private void resume(int scheduled, Runnable action) {
    if (scheduled != life) {
      return;
    }
    if (paused) {
      service.at(service.now() + 20, () -> resume(scheduled, action));
    } else {
      action.run();
    }
  }

  private void tick() {
    long now = service.now();
    service.at(now + TICK_MILLIS, inThisLife(this::tick));
    view.setMembers(directory.members(now), now);
    view.tick(now);
    askStore(now);
    for (MemberView member : List.copyOf(view.members())) {
      if (now - polledAt.getOrDefault(member.id(), Long.MIN_VALUE / 2) >= POLL_MILLIS) {
        polledAt.put(member.id(), now);
        control(member.id(), () -> service.member(member.id()).status(), status -> {});
      }
    }
    queryPeers(now);
    if (change.isPresent()) {
      advance(change.get(), now);
    } else {
      startChangeIfNeeded(now);
    }
  }

  private void askStore(long now) {
    long interval = change.isPresent() ? DRIVER_MEMBERS_INTERVAL_MILLIS : MEMBERS_INTERVAL_MILLIS;
    if (now - membersAskedAt >= interval) {
      membersAskedAt = now;
      service.callStore(
          name,
          MEMBERS_INTERVAL_MILLIS,
          service::listMembers,
          listed -> inThisLife(() -> onMembers(listed, now)).run(),
          () -> {});
    }
    if (view.lease().coverageRemainingMillis(now) < 1_300
        && now - announcementsAskedAt >= ANNOUNCEMENTS_INTERVAL_MILLIS) {
      announcementsAskedAt = now;
      service.callStore(
          name,
          STORE_TIMEOUT_MILLIS * 4,
          () -> service.announcement().read().map(a -> a.value().term()).orElse(0L),
          term -> inThisLife(() -> view.lease().onAnnouncedTerm(term, now, service.now())).run(),
          () -> {});
    }
  }

  private void onMembers(List<MemberEntry> listed, long askedAt) {
    directory.replaceAll(listed, service.now());
    view.setMembers(directory.members(service.now()), service.now());
    view.lease().onMembersKnown(askedAt);
  }

  private void control(
      MemberId id,
      java.util.function.Supplier<Optional<MemberStatus>> request,
      java.util.function.Consumer<MemberStatus> onStatus) {
    long sentAt = service.now();
    int sentIn = life;
    service.call(
        name,
        id.value(),
        POLL_TIMEOUT_MILLIS,
        request,
        status ->
            resume(
                sentIn,
                () -> {
                  view.onStatus(id, status, sentAt, service.now());
                  onStatus.accept(status);
                }),
        refused -> resume(sentIn, () -> view.onUnreachable(id, refused, service.now())));
  }

  private void queryPeers(long now) {
    List<MemberId> unseen = PrimaryChangeNeed.unseenMembers(view);
    reports.retain(unseen);
    for (MemberId id : unseen) {
      if (reports.queryDue(id, now)) {
        service.hosts().stream()
            .filter(other -> other != this)
            .forEach(other -> queryPeer(other, id));
      }
    }
  }

  private void queryPeer(SimulatedHost other, MemberId id) {
    service.<Boolean>call(
        name,
        other.name,
        350,
        () -> Optional.of(other.reaches(id)),
        reached -> reports.onReply(new HostId(other.name), id, reached, service.now()),
        refused -> reports.onReply(new HostId(other.name), id, false, service.now()));
  }

  private boolean holdsLeaseFor(long millis) {
    if (claim.remainingMillis(service.now()) >= millis) {
      return true;
    }
    if (!callingLease) {
      callingLease = true;
      callLease();
    }
    return false;
  }

  private void callLease() {
    long sentAt = service.now();
    if (claim.mayAcquire(sentAt)) {
      PromotionLeaseClaim.LeaseRecord next = claim.next();
      long expected = claim.version();
      service.callStore(
          name,
          STORE_TIMEOUT_MILLIS,
          () -> service.driverLease().write(next, expected),
          version ->
              inThisLife(
                      () -> {
                        callingLease = false;
                        if (version > 0) {
                          claim.onWritten(next, version, sentAt);
                        } else {
                          claim.invalidate();
                        }
                      })
                  .run(),
          inThisLife(
              () -> {
                callingLease = false;
                claim.onUnanswered();
              }));
      return;
    }
    service.callStore(
        name,
        STORE_TIMEOUT_MILLIS,
        service.driverLease()::read,
        found ->
            inThisLife(
                    () -> {
                      service.at(service.now() + 400, inThisLife(() -> callingLease = false));
                      claim.onRecord(
                          found.map(SimulatedService.Versioned::value),
                          found.map(SimulatedService.Versioned::version).orElse(0L),
                          service.now());
                    })
                .run(),
        inThisLife(() -> callingLease = false));
  }

  private void startChangeIfNeeded(long now) {
    if (PrimaryChangeNeed.of(view, now).isEmpty()) {
      return;
    }
    boolean reachedElsewhere =
        PrimaryChangeNeed.unseenMembers(view).stream()
            .anyMatch(id -> reports.reachedElsewhere(id, now));
    if (reachedElsewhere || !holdsLeaseFor(PrimaryChange.STEP_LEASE_MILLIS)) {
      return;
    }
    boolean planned =
        view.primary().filter(m -> !m.unreachable() && m.entry().draining()).isPresent();
    MemberId old = view.primary().map(MemberView::id).orElse(new MemberId("none"));
    boolean begunEarlier = view.fencedAbove(view.term()) || view.lease().changeAnnounced();
    change =
        Optional.of(
            new PrimaryChange(
                claim,
                old,
                planned,
                begunEarlier,
                view.newestTerm(),
                view.lease().nextTerm(),
                now));
  }

  private void advance(PrimaryChange current, long now) {
    boolean soon = current.promotionDueInMillis(view, now) <= 450;
    boolean unused = holdsLeaseFor(soon ? ORDER_LEASE_MILLIS : PrimaryChange.STEP_LEASE_MILLIS);
    if (current.oldPrimaryBack(view)) {
      perform(current, current.giveUp(view, now));
    } else if (current.stuck(view, now)) {
      perform(current, current.handOver(view, now));
    }
    perform(current, current.next(view, now));
    if (current.ended()) {
      change = Optional.empty();
    }
  }

  private void perform(PrimaryChange current, List<ChangeStep> steps) {
    for (ChangeStep step : steps) {
      if (step instanceof ChangeStep.Announce announce) {
        announce(announce.term(), Optional.of(current));
      } else if (step instanceof ChangeStep.Withdraw withdraw) {
        announce(withdraw.term(), Optional.empty());
      } else if (step instanceof ChangeStep.Fence fence) {
        control(
            fence.member(),
            () -> service.member(fence.member()).fence(fence.term()),
            status -> current.onFenced(fence.member(), status, service.now()));
      } else if (step instanceof ChangeStep.Unfence unfence) {
        control(unfence.member(), () -> service.member(unfence.member()).unfence(), status -> {});
      } else if (step instanceof ChangeStep.Demote demote) {
        control(
            demote.member(),
            () -> service.member(demote.member()).demote(demote.term()),
            status -> {});
      } else if (step instanceof ChangeStep.QueryStatus query) {
        control(query.member(), () -> service.member(query.member()).status(), status -> {});
      } else if (step instanceof ChangeStep.Promote promote) {
        order(current, promote.member());
      }
    }
  }

  private void announce(long term, Optional<PrimaryChange> announced) {
    if (writing) {
      return;
    }
    writing = true;
    SimulatedService.Announcement next = new SimulatedService.Announcement(term, claim.token());
    service.callStore(
        name,
        STORE_TIMEOUT_MILLIS,
        service.announcement()::read,
        found -> inThisLife(() -> write(next, found, announced)).run(),
        inThisLife(() -> writing = false));
  }

  private void write(
      SimulatedService.Announcement next,
      Optional<SimulatedService.Versioned<SimulatedService.Announcement>> found,
      Optional<PrimaryChange> announced) {
    boolean overtaken =
        announced.isPresent()
            && found
                .map(SimulatedService.Versioned::value)
                .filter(a -> a.term() >= next.term() && a.token() != next.token())
                .isPresent();
    if (overtaken) {
      view.lease().onAnnouncedTerm(found.get().value().term(), service.now(), service.now());
      announced.get().onOtherAnnouncement(service.now());
    }
    if (overtaken || claim.token() != next.token() || claim.remainingMillis(service.now()) == 0) {
      writing = false;
      return;
    }
    long expected = found.map(SimulatedService.Versioned::version).orElse(0L);
    service.callStore(
        name,
        STORE_TIMEOUT_MILLIS,
        () -> service.announcement().write(next, expected),
        written ->
            inThisLife(
                    () -> {
                      writing = false;
                      if (written > 0) {
                        announced.ifPresent(current -> onAnnounced(current, next.term()));
                      }
                    })
                .run(),
        inThisLife(() -> writing = false));
  }

  private void onAnnounced(PrimaryChange current, long term) {
    view.lease().onAnnouncedTerm(term, service.now(), service.now());
    current.onAnnounced(service.now());
  }

  private void order(PrimaryChange current, MemberId member) {
    if (!holdsLeaseFor(ORDER_LEASE_MILLIS)) {
      current.onPromotionOrdered(PromotionClient.Outcome.REFUSED, service.now());
      return;
    }
    service.callStore(
        name,
        700,
        () -> service.promote(member),
        accepted ->
            inThisLife(
                    () ->
                        current.onPromotionOrdered(
                            accepted
                                ? PromotionClient.Outcome.ACCEPTED
                                : PromotionClient.Outcome.MEMBER_DOWN,
                            service.now()))
                .run(),
        inThisLife(
            () -> current.onPromotionOrdered(PromotionClient.Outcome.UNKNOWN, service.now())));
  }
}
