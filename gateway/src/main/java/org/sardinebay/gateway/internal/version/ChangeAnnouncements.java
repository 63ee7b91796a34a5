package org.sardinebay.gateway.internal.version;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.internal.version.AdaptiveTimeout;
import org.sardinebay.internal.version.PromotionLeaseClaim;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The announced changes of primaries in the store. The driver of a change announces it before it
 * orders a promotion. A host asks for announcements only if the other members of a service don't
 * confirm its lease on the primary, or if one call saves calls of the members of several services.
 *
 * <pre>{@code
 * announcements.tick(now);
 * announcements.announce(service, nextTerm, token, mayWrite, announced -> ...);
 * }</pre>
 */
public final class ChangeAnnouncements {
  private static final Logger LOG = LoggerFactory.getLogger(ChangeAnnouncements.class);
  private static final String KIND = "sardinebay-changes";

  /**
   * Interval between calls while a lease depends on the store, in milliseconds: two may fail in a
   * row before the lease expires.
   */
  private static final long INTERVAL_MILLIS = 700;

  /** The same interval while the store alone confirms a lease, which is then shorter. */
  private static final long ALONE_INTERVAL_MILLIS = 400;

  /**
   * When a lease is covered for less than this, in milliseconds, the store is asked: there is time
   * for a call that fails and another one. The other members have been asked before.
   */
  private static final long LEAD_MILLIS = 800;

  /**
   * When less than this is left of a lease, in milliseconds, the store is asked as well: members
   * that have just been registered don't extend a lease, and those of a host that has just started
   * don't cover it.
   */
  private static final long EXPIRY_LEAD_MILLIS = 400;

  /**
   * The lead for the coverage of several services, in milliseconds: one call of the store covers
   * all of them, before the members of each are asked.
   */
  private static final long SHARED_LEAD_MILLIS = 1_300;

  /** For how many services one call of the store replaces calls of members. */
  private static final int SHARED_SERVICES = 2;

  /**
   * How many calls may be unanswered. A call on a connection that went silent must not hold up the
   * next ones.
   */
  private static final int MAX_UNANSWERED = 3;

  /**
   * Delay before a withdrawal is written again that met another call or failed, in milliseconds.
   */
  private static final long WITHDRAWAL_RETRY_MILLIS = 200;

  private final Services services;
  private final PlatformClient store;
  private final StoreEra era;
  private final HostId self;
  private final Eventloop loop;
  private final Clock clock;
  private final AdaptiveTimeout writeTimeout = new AdaptiveTimeout();
  private final Map<String, Announcement> announced = new HashMap<>();
  private final Set<String> writing = new HashSet<>();

  /** How often the changes of each service have asked for an announcement. */
  private final Map<String, Integer> requests = new HashMap<>();

  private long revision;
  private long askedAt = Long.MIN_VALUE / 2;
  private int unanswered;
  private boolean lost;

  private record Announcement(long term, long version) {}

  /**
   * Creates an instance that knows no announcements.
   *
   * @param services the services
   * @param store the store
   * @param era the store's era
   * @param self this host
   * @param loop the event loop that this instance runs on
   * @param clock the clock
   */
  public ChangeAnnouncements(
      Services services,
      PlatformClient store,
      StoreEra era,
      HostId self,
      Eventloop loop,
      Clock clock) {
    this.services = services;
    this.store = store;
    this.era = era;
    this.self = self;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Asks the store for announced changes if the lease on a primary depends on it.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    int uncovered = 0;
    int uncoveredSoon = 0;
    boolean alone = false;
    for (ServiceRuntime service : services.all()) {
      ServiceView view = service.view();
      if (service.home() && view.primary().isPresent()) {
        long remainingMillis = view.lease().coverageRemainingMillis(now);
        boolean expires = view.leaseMillis(now) < EXPIRY_LEAD_MILLIS;
        uncovered += expires || remainingMillis < LEAD_MILLIS ? 1 : 0;
        uncoveredSoon += remainingMillis < SHARED_LEAD_MILLIS ? 1 : 0;
        alone |= view.lease().primaryAlone();
      }
    }
    boolean needed = alone || uncovered > 0 || (uncoveredSoon >= SHARED_SERVICES && !lost);
    long interval = alone ? ALONE_INTERVAL_MILLIS : INTERVAL_MILLIS;
    if (needed && now - askedAt >= interval && unanswered < MAX_UNANSWERED) {
      ask(now);
    }
  }

  private void ask(long now) {
    askedAt = now;
    unanswered++;
    CompletableFuture<Void> unused =
        store
            .watch(List.of(KIND), revision, 0)
            .thenAccept(result -> loop.execute(() -> onAnswer(now, result)));
  }

  private void onAnswer(long sentAt, PlatformResult result) {
    unanswered--;
    if (result instanceof PlatformResult.Listing page) {
      page.objects().forEach(this::merge);
      revision = Math.max(revision, page.revision());
      logLost(false, result);
      applyAll(sentAt);
      return;
    }
    if (result instanceof PlatformResult.Failed failed
        && failed.failure() == PlatformFailure.HISTORY_GONE) {
      revision = 0;
    }
    logLost(true, result);
  }

  private void logLost(boolean nowLost, PlatformResult result) {
    if (lost != nowLost) {
      lost = nowLost;
      LOG.atInfo()
          .setMessage(lost ? "change_announcements_lost" : "change_announcements_regained")
          .addKeyValue("result", lost ? result : "-")
          .log();
    }
  }

  private void merge(PlatformObject object) {
    Announcement known = announced.get(object.key().name());
    if (known == null || known.version() < object.version()) {
      long term = object.deleted() ? 0 : object.body().path("term").asLong(0);
      announced.put(object.key().name(), new Announcement(term, object.version()));
    }
  }

  /**
   * A store that came back from an older copy may have forgotten an announcement, whose driver may
   * act until its lease has ended.
   */
  private void applyAll(long asOf) {
    long now = clock.millis();
    if (!era.seenFor(PromotionLeaseClaim.TAKEOVER_MILLIS, now)) {
      return;
    }
    services.all().forEach(service -> apply(service.view().service(), asOf));
  }

  private void apply(String name, long asOf) {
    Announcement announcement = announced.get(name);
    long term = announcement == null ? 0 : announcement.term();
    services
        .service(name)
        .ifPresent(service -> service.view().lease().onAnnouncedTerm(term, asOf, clock.millis()));
  }

  /**
   * Announces a change. Does nothing while a call for the same service is in progress.
   *
   * @param service the service
   * @param term the lowest term that a member may be promoted to
   * @param token the fencing token of the driver lease
   * @param mayWrite whether this host still holds the driver lease
   * @param onResult called with true once the store has confirmed the announcement, and with false
   *     if another driver has announced a change to the same or a later term; not called if the
   *     store has not answered
   */
  public void announce(
      String service, long term, long token, BooleanSupplier mayWrite, Consumer<Boolean> onResult) {
    requests.merge(service, 1, Integer::sum);
    write(new Writing(service, term, token, mayWrite, true, onResult));
  }

  /**
   * Withdraws the announcement of a change for which no order can take effect any more, unless
   * another one is announced meanwhile.
   *
   * @param service the service
   * @param term the term of the primary in use
   * @param token the fencing token of the driver lease
   * @param mayWrite whether this host still holds the driver lease
   */
  public void withdraw(String service, long term, long token, BooleanSupplier mayWrite) {
    int known = requests.getOrDefault(service, 0);
    BooleanSupplier stillLast =
        () -> mayWrite.getAsBoolean() && requests.getOrDefault(service, 0) == known;
    write(new Writing(service, term, token, stillLast, false, written -> {}));
  }

  private void write(Writing call) {
    if (!writing.add(call.service())) {
      queueWithdrawal(call);
    } else {
      CompletableFuture<Void> unused =
          store
              .read(call.key(), writeTimeout.timeoutMillis())
              .thenAccept(result -> loop.execute(() -> onRead(call, result)));
    }
  }

  /** An announcement is repeated by its change until it is confirmed, a withdrawal is not. */
  private void queueWithdrawal(Writing call) {
    if (!call.announces()) {
      loop.delay(WITHDRAWAL_RETRY_MILLIS, () -> retryWithdrawal(call));
    }
  }

  private void retryWithdrawal(Writing call) {
    if (call.mayWrite().getAsBoolean()) {
      write(call);
    }
  }

  /**
   * The condition of the write is a version read while this host held the driver lease. A later
   * driver writes its own announcement first, so a write that takes effect late fails.
   */
  private void onRead(Writing call, PlatformResult result) {
    boolean found = result instanceof PlatformResult.Found;
    if (!call.mayWrite().getAsBoolean() || (!found && !(result instanceof PlatformResult.Absent))) {
      onNotWritten(call, result);
      return;
    }
    Optional<PlatformObject> current =
        found ? Optional.of(((PlatformResult.Found) result).object()) : Optional.empty();
    if (call.announces() && current.filter(call::overtakenBy).isPresent()) {
      writing.remove(call.service());
      merge(current.get());
      apply(call.service(), clock.millis());
      call.onResult().accept(false);
      return;
    }
    long version = current.map(PlatformObject::version).orElse(0L);
    CompletableFuture<Void> unused =
        store
            .write(call.key(), version, call.body(self), writeTimeout.timeoutMillis())
            .thenAccept(written -> loop.execute(() -> onWritten(call, written)));
  }

  private void onWritten(Writing call, PlatformResult result) {
    if (!(result instanceof PlatformResult.Found found)) {
      onNotWritten(call, result);
      return;
    }
    writing.remove(call.service());
    writeTimeout.onReply();
    merge(found.object());
    if (call.announces()) {
      apply(call.service(), clock.millis());
    }
    LOG.atInfo()
        .setMessage(call.announces() ? "change_announced" : "change_withdrawn")
        .addKeyValue("service", call.service())
        .addKeyValue("term", call.term())
        .addKeyValue("token", call.token())
        .log();
    call.onResult().accept(true);
  }

  private void onNotWritten(Writing call, PlatformResult result) {
    writing.remove(call.service());
    if (result instanceof PlatformResult.Failed failed
        && failed.failure() == PlatformFailure.NO_ANSWER) {
      writeTimeout.timedOut();
    } else {
      writeTimeout.onReply();
    }
    queueWithdrawal(call);
    LOG.atInfo()
        .setMessage("change_not_announced")
        .addKeyValue("service", call.service())
        .addKeyValue("result", result)
        .log();
  }

  /** An announcement, or a withdrawal, that is being written. */
  private record Writing(
      String service,
      long term,
      long token,
      BooleanSupplier mayWrite,
      boolean announces,
      Consumer<Boolean> onResult) {
    private ObjectKey key() {
      return new ObjectKey(KIND, service);
    }

    private ObjectNode body(HostId driver) {
      return Json.newObject().put("term", term).put("driver", driver.value()).put("token", token);
    }

    /** Whether another driver's announcement of the same or a later term stands. */
    private boolean overtakenBy(PlatformObject current) {
      return !current.deleted()
          && current.body().path("term").asLong(0) >= term
          && current.body().path("token").asLong(0) != token;
    }
  }
}
