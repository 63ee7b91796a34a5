package org.sardinebay.proxy.internal.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntSupplier;
import org.sardinebay.Address;
import org.sardinebay.CallerId;
import org.sardinebay.Clock;
import org.sardinebay.Failure;
import org.sardinebay.MemberId;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointClient;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.process.Invariants;
import org.sardinebay.internal.request.FairQueue;
import org.sardinebay.internal.request.WriteMachine;
import org.sardinebay.proxy.internal.process.ProxyIdentity;

/**
 * This proxy's connections to one member, and the requests that wait for one.
 *
 * <pre>{@code
 * gateway.acquire(caller, deadlineAt).thenAccept(acquired -> ...);
 * }</pre>
 *
 * <p>Thread-safe; one lock guards the state and is not held while a call is on its way.
 */
public final class MemberConnectionPool {
  /** A connection idle for longer is not used again: the member may have closed it. */
  public static final long MAX_IDLE_MILLIS = 2_000;

  /** After so long without an answer the member has certainly closed a connection. */
  public static final long MEMBER_IDLE_LIMIT_MILLIS = 3_500;

  private static final int QUEUE_CAPACITY = 64;
  private static final long OPEN_TIMEOUT_MILLIS = 500;
  private static final long CLOSE_TIMEOUT_MILLIS = 500;
  private static final long OPEN_BACKOFF_MILLIS = 50;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final double HOLD_WEIGHT = 0.05;

  private final MemberId member;
  private final Address address;
  private final EndpointClient endpoints;
  private final ProxyIdentity identity;
  private final Clock clock;
  private final ScheduledExecutorService timer;
  private final Invariants invariants;
  private final IntSupplier share;

  private final ReentrantLock lock = new ReentrantLock();
  private final Deque<Idle> idle = new ArrayDeque<>();
  private final FairQueue<Waiter> waiters = new FairQueue<>(QUEUE_CAPACITY);
  private int opening;
  private int leased;
  private int closing;
  private double holdMillis = 1;
  private long noOpenBefore = Long.MIN_VALUE;
  private long refusedOpens;

  /**
   * A gateway without connections.
   *
   * @param member the member
   * @param address where it takes calls
   * @param endpoints sends the calls
   * @param identity this proxy
   * @param clock the time
   * @param timer runs what is due later
   * @param invariants hears of violations
   * @param share how many connections may be held now
   */
  public MemberConnectionPool(
      MemberId member,
      Address address,
      EndpointClient endpoints,
      ProxyIdentity identity,
      Clock clock,
      ScheduledExecutorService timer,
      Invariants invariants,
      IntSupplier share) {
    this.member = member;
    this.address = address;
    this.endpoints = endpoints;
    this.identity = identity;
    this.clock = clock;
    this.timer = timer;
    this.invariants = invariants;
    this.share = share;
  }

  /**
   * Asks for a connection. The answer comes at once if the wait would be too long.
   *
   * @param caller who asks; callers are served in turn
   * @param deadlineAt until when it is of use
   * @return a lease, or why there is none
   */
  public CompletableFuture<AcquireResult> acquire(CallerId caller, long deadlineAt) {
    Waiter waiter = new Waiter(new CompletableFuture<>(), deadlineAt);
    List<Runnable> actions = new ArrayList<>();
    locked(
        () -> {
          long now = clock.millis();
          long expectedWait = expectedWaitMillis();
          if (now + expectedWait > deadlineAt) {
            actions.add(() -> waiter.deny(new Failure.Overloaded(), expectedWait));
            return;
          }
          Optional<Waiter> displaced = waiters.offer(caller, waiter, deadlineAt);
          displaced.ifPresent(
              other -> actions.add(() -> other.deny(new Failure.Overloaded(), expectedWait)));
          dispatch(now, actions);
        });
    actions.forEach(Runnable::run);
    return waiter.acquired;
  }

  /**
   * Whether a statement would start at once.
   *
   * @return true if a connection is free, or may be opened, and nobody waits
   */
  public boolean idle() {
    lock.lock();
    try {
      return waiters.size() == 0 && (!idle.isEmpty() || held() < share.getAsInt());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Whether nothing runs on the member, waits for it or is being closed.
   *
   * @return true if no connection is held and no request waits
   */
  public boolean unused() {
    lock.lock();
    try {
      return held() == 0 && waiters.size() == 0;
    } finally {
      lock.unlock();
    }
  }

  /** Answers the requests that waited for too long, and closes connections that are not needed. */
  public void sweep() {
    List<Runnable> actions = new ArrayList<>();
    locked(
        () -> {
          long now = clock.millis();
          for (Waiter late : waiters.expire(now)) {
            actions.add(() -> late.deny(new Failure.Overloaded(), expectedWaitMillis()));
          }
          idle.removeIf(connection -> closeIfUnneeded(connection, now, actions));
          dispatch(now, actions);
        });
    actions.forEach(Runnable::run);
  }

  private boolean closeIfUnneeded(Idle connection, long now, List<Runnable> actions) {
    boolean stale = now - connection.since > MAX_IDLE_MILLIS;
    if (!stale && held() <= share.getAsInt()) {
      return false;
    }
    closing++;
    actions.add(() -> close(connection.name));
    return true;
  }

  private void dispatch(long now, List<Runnable> actions) {
    while (waiters.size() > 0) {
      Idle connection = idle.pollLast();
      if (connection == null) {
        openMore(now, actions);
        return;
      }
      if (now - connection.since > MAX_IDLE_MILLIS) {
        closing++;
        actions.add(() -> close(connection.name));
        continue;
      }
      Waiter waiter = waiters.poll().orElseThrow();
      leased++;
      ConnectionLease lease = new ConnectionLease(this, connection.name, now);
      actions.add(() -> waiter.grant(lease));
    }
  }

  private void openMore(long now, List<Runnable> actions) {
    while (opening < waiters.size() && held() < share.getAsInt() && now >= noOpenBefore) {
      opening++;
      invariants.check(
          held() <= share.getAsInt(),
          InvariantName.CONNECTIONS_WITHIN_SHARE,
          member + " holds " + held());
      actions.add(this::open);
    }
    if (held() == 0 && waiters.size() > 0) {
      failAll(new Failure.PrimaryUnreachable(member), actions);
    }
  }

  private void failAll(Failure failure, List<Runnable> actions) {
    Optional<Waiter> waiter = waiters.poll();
    while (waiter.isPresent()) {
      Waiter denied = waiter.get();
      actions.add(() -> denied.deny(failure, WriteMachine.RETRY_AFTER_PROMOTION_MILLIS));
      waiter = waiters.poll();
    }
  }

  private void open() {
    EndpointCall call = new EndpointCall.Open(identity.host().value());
    var unused = endpoints.call(address, call, OPEN_TIMEOUT_MILLIS).thenAccept(this::onOpenReply);
  }

  private void onOpenReply(EndpointReply reply) {
    List<Runnable> actions = new ArrayList<>();
    locked(
        () -> {
          long now = clock.millis();
          opening--;
          if (reply instanceof EndpointReply.Opened opened) {
            idle.addLast(new Idle(opened.connection(), now));
          } else {
            refusedOpens++;
            noOpenBefore = now + OPEN_BACKOFF_MILLIS;
            holdPlaceIfUncertain(reply);
          }
          dispatch(now, actions);
        });
    actions.forEach(Runnable::run);
  }

  private void holdPlaceIfUncertain(EndpointReply reply) {
    boolean certain =
        reply instanceof EndpointReply.Refused || reply instanceof EndpointReply.NotSent;
    if (!certain) {
      closing++;
      forgetLater();
    }
  }

  CompletableFuture<EndpointReply> send(EndpointCall call, long timeoutMillis) {
    return endpoints.call(address, call, timeoutMillis);
  }

  void onReleased(String connection, long leasedAt) {
    List<Runnable> actions = new ArrayList<>();
    locked(
        () -> {
          long now = clock.millis();
          leased--;
          holdMillis += HOLD_WEIGHT * ((double) (now - leasedAt) - holdMillis);
          idle.addLast(new Idle(connection, now));
          if (held() > share.getAsInt()) {
            closeIfUnneeded(idle.pollLast(), now, actions);
          }
          dispatch(now, actions);
        });
    actions.forEach(Runnable::run);
  }

  void onDiscarded(String connection) {
    locked(
        () -> {
          leased--;
          closing++;
        });
    close(connection);
  }

  private void close(String connection) {
    var unused =
        endpoints
            .call(address, new EndpointCall.Close(connection), CLOSE_TIMEOUT_MILLIS)
            .thenAccept(this::onCloseReply);
  }

  private void onCloseReply(EndpointReply reply) {
    boolean closed =
        reply instanceof EndpointReply.Closed || reply instanceof EndpointReply.Refused;
    if (closed) {
      onClosed();
    } else {
      forgetLater();
    }
  }

  private void forgetLater() {
    var unused = timer.schedule(this::onClosed, MEMBER_IDLE_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onClosed() {
    List<Runnable> actions = new ArrayList<>();
    locked(
        () -> {
          closing--;
          dispatch(clock.millis(), actions);
        });
    actions.forEach(Runnable::run);
  }

  private int held() {
    return idle.size() + opening + leased + closing;
  }

  private long expectedWaitMillis() {
    int servers = Math.max(1, share.getAsInt());
    return Math.round(holdMillis * waiters.size() / servers);
  }

  private void locked(Runnable change) {
    lock.lock();
    try {
      change.run();
    } finally {
      lock.unlock();
    }
  }

  /**
   * The gateway's state, for the process's dump.
   *
   * @return the counts at this moment
   */
  public Summary summary() {
    lock.lock();
    try {
      return new Summary(
          member,
          share.getAsInt(),
          idle.size(),
          opening,
          leased,
          closing,
          waiters.size(),
          refusedOpens);
    } finally {
      lock.unlock();
    }
  }

  /**
   * The state of a gateway.
   *
   * @param member the member
   * @param share how many connections may be held
   * @param idle how many are free
   * @param opening how many are being opened
   * @param leased how many serve a request or transaction
   * @param closing how many may still be open at the member
   * @param waiting how many requests wait
   * @param refusedOpens how many could not be opened so far
   */
  public record Summary(
      MemberId member,
      int share,
      int idle,
      int opening,
      int leased,
      int closing,
      int waiting,
      long refusedOpens) {}

  private record Idle(String name, long since) {}

  private record Waiter(CompletableFuture<AcquireResult> acquired, long deadlineAt) {
    void grant(ConnectionLease lease) {
      if (!acquired.complete(new AcquireResult.Leased(lease))) {
        lease.releaseUnused();
      }
    }

    void deny(Failure failure, long retryAfterMillis) {
      long later = Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis);
      acquired.complete(new AcquireResult.Denied(failure, later));
    }
  }
}
