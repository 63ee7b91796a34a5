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
import org.sardinebay.internal.process.InvariantReporter;
import org.sardinebay.internal.request.FairQueue;
import org.sardinebay.internal.request.WriteStateMachine;
import org.sardinebay.proxy.internal.process.ProxyIdentity;

/**
 * The pool of this proxy's connections to one member, with a queue of the requests that wait for a
 * connection.
 *
 * <pre>{@code
 * pool.acquire(caller, deadlineAt).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>Thread-safe. One lock guards the state; it is not held while a call is in flight.
 */
public final class MemberConnectionPool {
  /**
   * The maximum idle time in milliseconds of a connection that is reused. After a longer time the
   * member may have closed the connection.
   */
  public static final long MAX_IDLE_MILLIS = 2_000;

  /**
   * The time in milliseconds after which the member has certainly closed an idle connection, even
   * if it did not confirm the close.
   */
  public static final long MEMBER_IDLE_LIMIT_MILLIS = 3_500;

  private static final int QUEUE_CAPACITY = 64;
  private static final long OPEN_TIMEOUT_MILLIS = 500;
  private static final long CLOSE_TIMEOUT_MILLIS = 500;
  private static final long OPEN_BACKOFF_MILLIS = 50;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final double HOLD_TIME_SMOOTHING = 0.05;

  private final MemberId member;
  private final Address address;
  private final EndpointClient endpoints;
  private final ProxyIdentity identity;
  private final Clock clock;
  private final ScheduledExecutorService timer;
  private final InvariantReporter invariantReporter;
  private final IntSupplier share;

  private final ReentrantLock lock = new ReentrantLock();
  private final Deque<IdleConnection> idle = new ArrayDeque<>();
  private final FairQueue<Waiter> waiters = new FairQueue<>(QUEUE_CAPACITY);
  private int opening;
  private int leased;
  private int closing;
  private double averageHoldMillis = 1;
  private long openBackoffUntil = Long.MIN_VALUE;
  private long refusedOpens;

  /**
   * Creates a pool without connections.
   *
   * @param member the member
   * @param address the address of the member
   * @param endpoints sends calls to the member
   * @param identity the identity of this proxy
   * @param clock the time source
   * @param timer runs delayed tasks
   * @param invariantReporter receives invariant violations
   * @param share the current maximum number of connections
   */
  public MemberConnectionPool(
      MemberId member,
      Address address,
      EndpointClient endpoints,
      ProxyIdentity identity,
      Clock clock,
      ScheduledExecutorService timer,
      InvariantReporter invariantReporter,
      IntSupplier share) {
    this.member = member;
    this.address = address;
    this.endpoints = endpoints;
    this.identity = identity;
    this.clock = clock;
    this.timer = timer;
    this.invariantReporter = invariantReporter;
    this.share = share;
  }

  /**
   * Acquires a connection. The request is denied at once if the expected wait exceeds its deadline.
   *
   * @param caller the caller of the request; callers are served in turn
   * @param deadlineAt the time in milliseconds after which the request is denied
   * @return completes with a lease, or with the reason why there is none
   */
  public CompletableFuture<AcquireResult> acquire(CallerId caller, long deadlineAt) {
    Waiter waiter = new Waiter(new CompletableFuture<>(), deadlineAt);
    List<Runnable> actions = new ArrayList<>();
    withLock(
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
   * Whether a connection can be acquired without queuing.
   *
   * @return true if a connection is idle or may be opened, and no request waits
   */
  public boolean idle() {
    lock.lock();
    try {
      return waiters.size() == 0 && (!idle.isEmpty() || connectionCount() < share.getAsInt());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Whether no request uses the pool and no connection may still be open at the member.
   *
   * @return true if the pool holds no connection and no request waits
   */
  public boolean unused() {
    lock.lock();
    try {
      return connectionCount() == 0 && waiters.size() == 0;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Denies the requests whose deadline has passed, and closes connections that are stale or beyond
   * the share.
   */
  public void sweep() {
    List<Runnable> actions = new ArrayList<>();
    withLock(
        () -> {
          long now = clock.millis();
          List<Waiter> allExpired = waiters.expire(now);
          long retryAfterMillis = expectedWaitMillis();
          for (Waiter expired : allExpired) {
            actions.add(() -> expired.deny(new Failure.Overloaded(), retryAfterMillis));
          }
          idle.removeIf(connection -> closeIfStaleOrExcess(connection, now, actions));
          dispatch(now, actions);
        });
    actions.forEach(Runnable::run);
  }

  private boolean closeIfStaleOrExcess(
      IdleConnection connection, long now, List<Runnable> actions) {
    boolean stale = now - connection.idleSince > MAX_IDLE_MILLIS;
    if (!stale && connectionCount() <= share.getAsInt()) {
      return false;
    }
    closing++;
    actions.add(() -> close(connection.id));
    return true;
  }

  private void dispatch(long now, List<Runnable> actions) {
    while (waiters.size() > 0) {
      IdleConnection connection = idle.pollLast();
      if (connection == null) {
        openConnections(now, actions);
        return;
      }
      if (now - connection.idleSince > MAX_IDLE_MILLIS) {
        closing++;
        actions.add(() -> close(connection.id));
        continue;
      }
      Waiter waiter = waiters.poll().orElseThrow();
      leased++;
      ConnectionLease lease = new ConnectionLease(this, connection.id, now);
      actions.add(() -> waiter.grant(lease));
    }
  }

  private void openConnections(long now, List<Runnable> actions) {
    while (opening < waiters.size()
        && connectionCount() < share.getAsInt()
        && now >= openBackoffUntil) {
      opening++;
      invariantReporter.check(
          connectionCount() <= share.getAsInt(),
          InvariantName.CONNECTIONS_WITHIN_SHARE,
          member + " holds " + connectionCount());
      actions.add(this::open);
    }
    if (connectionCount() == 0 && waiters.size() > 0) {
      denyAll(new Failure.PrimaryUnreachable(member), actions);
    }
  }

  private void denyAll(Failure failure, List<Runnable> actions) {
    Optional<Waiter> waiter = waiters.poll();
    while (waiter.isPresent()) {
      Waiter denied = waiter.get();
      actions.add(() -> denied.deny(failure, WriteStateMachine.RETRY_AFTER_PROMOTION_MILLIS));
      waiter = waiters.poll();
    }
  }

  private void open() {
    EndpointCall call = new EndpointCall.Open(identity.host().value());
    var unused = endpoints.call(address, call, OPEN_TIMEOUT_MILLIS).thenAccept(this::onOpenReply);
  }

  private void onOpenReply(EndpointReply reply) {
    List<Runnable> actions = new ArrayList<>();
    withLock(
        () -> {
          long now = clock.millis();
          opening--;
          if (reply instanceof EndpointReply.Opened opened) {
            idle.addLast(new IdleConnection(opened.connection(), now));
          } else {
            refusedOpens++;
            openBackoffUntil = now + OPEN_BACKOFF_MILLIS;
            reserveSlotIfUncertain(reply);
          }
          dispatch(now, actions);
        });
    actions.forEach(Runnable::run);
  }

  private void reserveSlotIfUncertain(EndpointReply reply) {
    boolean definitelyNotOpen =
        reply instanceof EndpointReply.Refused || reply instanceof EndpointReply.NotSent;
    if (!definitelyNotOpen) {
      closing++;
      releaseSlotLater();
    }
  }

  CompletableFuture<EndpointReply> send(EndpointCall call, long timeoutMillis) {
    return endpoints.call(address, call, timeoutMillis);
  }

  void onReleased(String connection, long leasedAt) {
    List<Runnable> actions = new ArrayList<>();
    withLock(
        () -> {
          long now = clock.millis();
          leased--;
          averageHoldMillis +=
              HOLD_TIME_SMOOTHING * ((double) (now - leasedAt) - averageHoldMillis);
          idle.addLast(new IdleConnection(connection, now));
          if (connectionCount() > share.getAsInt()) {
            closeIfStaleOrExcess(idle.pollLast(), now, actions);
          }
          dispatch(now, actions);
        });
    actions.forEach(Runnable::run);
  }

  void onDiscarded(String connection) {
    withLock(
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
      releaseSlotLater();
    }
  }

  private void releaseSlotLater() {
    var unused = timer.schedule(this::onClosed, MEMBER_IDLE_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onClosed() {
    List<Runnable> actions = new ArrayList<>();
    withLock(
        () -> {
          closing--;
          dispatch(clock.millis(), actions);
        });
    actions.forEach(Runnable::run);
  }

  private int connectionCount() {
    return idle.size() + opening + leased + closing;
  }

  private long expectedWaitMillis() {
    int connections = Math.max(1, share.getAsInt());
    return Math.round(averageHoldMillis * waiters.size() / connections);
  }

  private void withLock(Runnable change) {
    lock.lock();
    try {
      change.run();
    } finally {
      lock.unlock();
    }
  }

  /**
   * The state of the pool, for the diagnostic dump.
   *
   * @return a snapshot of the counts
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
   * The state of a pool.
   *
   * @param member the member
   * @param share the maximum number of connections
   * @param idle the number of idle connections
   * @param opening the number of connections that are being opened
   * @param leased the number of connections that a request or transaction uses
   * @param closing the number of connections that were given up but may still be open at the member
   * @param waiting the number of requests that wait for a connection
   * @param refusedOpens the number of failed attempts to open a connection so far
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

  private record IdleConnection(String id, long idleSince) {}

  private record Waiter(CompletableFuture<AcquireResult> acquired, long deadlineAt) {
    void grant(ConnectionLease lease) {
      if (!acquired.complete(new AcquireResult.Leased(lease))) {
        lease.releaseUnused();
      }
    }

    void deny(Failure failure, long retryAfterMillis) {
      long retryDelay = Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis);
      acquired.complete(new AcquireResult.Denied(failure, retryDelay));
    }
  }
}
