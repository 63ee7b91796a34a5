package org.sardinebay.proxy.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.request.MemberLoad;
import org.sardinebay.internal.version.AckPolicy;
import org.sardinebay.internal.version.ConnectionShare;
import org.sardinebay.internal.version.DatabaseView;
import org.sardinebay.proxy.internal.connection.MemberConnectionPool;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state that one proxy keeps for one database under one configuration record: the view of the
 * database, the connection pools to its members and the pollers that update the view. Each database
 * has its own lock, so that databases do not block each other.
 */
public final class DatabaseContext implements MemberLoad {
  private static final Logger LOG = LoggerFactory.getLogger(DatabaseContext.class);
  private static final long RECENT_REQUEST_MILLIS = 3_000;

  private final ProxyRuntime runtime;
  private final DatabaseRecord database;
  private final AckPolicy policy;
  private final ConnectionShare share;
  private final Map<MemberId, MemberConnectionPool> pools = new TreeMap<>();
  private final List<ProgressPoller> pollers = new ArrayList<>();
  private final AtomicInteger confirmationWaiters = new AtomicInteger();
  private final AtomicLong lastRequestAt;

  private final ReentrantLock lock = new ReentrantLock();
  private final DatabaseView view;
  private CompletableFuture<Void> nextChange = new CompletableFuture<>();

  /**
   * Creates the context with an empty view.
   *
   * @param runtime the shared services of the proxy
   * @param database the configuration record of the database
   * @param share the number of connections that the proxy may hold to each member
   */
  public DatabaseContext(ProxyRuntime runtime, DatabaseRecord database, ConnectionShare share) {
    this.runtime = runtime;
    this.database = database;
    this.policy = AckPolicy.named(database.acknowledgement());
    this.share = share;
    this.view = new DatabaseView(database, runtime.invariantReporter());
    this.lastRequestAt = new AtomicLong(runtime.clock().millis());
    for (MemberRecord member : database.members()) {
      pools.put(member.id(), pool(member));
      pollers.add(new ProgressPoller(runtime, this, member.address()));
    }
  }

  private MemberConnectionPool pool(MemberRecord member) {
    return new MemberConnectionPool(
        member.id(),
        member.address(),
        runtime.endpoints(),
        runtime.identity(),
        runtime.clock(),
        runtime.timer(),
        runtime.invariantReporter(),
        this::allowedConnections);
  }

  /** Starts to poll the members for their progress. */
  public void start() {
    pollers.forEach(ProgressPoller::poll);
  }

  /** Stops polling the members. Requests in progress are still completed. */
  public void stop() {
    pollers.forEach(ProgressPoller::stop);
  }

  /** Runs periodic maintenance of the connection pools. */
  public void sweep() {
    pools.values().forEach(MemberConnectionPool::sweep);
  }

  /**
   * The configuration record of the database.
   *
   * @return the record
   */
  public DatabaseRecord database() {
    return database;
  }

  /**
   * The policy that decides when writes are acknowledged.
   *
   * @return the policy named by the configuration record
   */
  public AckPolicy policy() {
    return policy;
  }

  /**
   * The connection pool of a member.
   *
   * @param member a member of the database
   * @return the pool, or null if the database has no such member
   */
  public MemberConnectionPool pool(MemberId member) {
    return pools.get(member);
  }

  @Override
  public boolean idle(MemberId member) {
    return pools.get(member).idle();
  }

  /**
   * Makes a decision on the view.
   *
   * @param decide computes the decision; runs under the lock of the context and must not block
   * @param <T> the type of the decision
   * @return the decision, and a future that completes at the next change of the view
   */
  public <T> ViewDecision<T> decide(Function<DatabaseView, T> decide) {
    lock.lock();
    try {
      return new ViewDecision<>(decide.apply(view), nextChange);
    } finally {
      lock.unlock();
    }
  }

  /** Records that a request arrived, so that the members are polled more often. */
  public void onRequest() {
    lastRequestAt.set(runtime.clock().millis());
  }

  /** Registers a request that waits for a confirmation, and polls the members at once. */
  public void startAwaitingConfirmation() {
    confirmationWaiters.incrementAndGet();
    pollers.forEach(ProgressPoller::poll);
  }

  /** Unregisters a request that waited for a confirmation. */
  public void stopAwaitingConfirmation() {
    confirmationWaiters.decrementAndGet();
  }

  /**
   * Updates the view after the primary ran a write.
   *
   * @param member the primary
   * @param position the position of the write's log entry
   */
  public void observeWritten(MemberId member, Position position) {
    change(() -> view.observeWritten(member, position, runtime.clock().millis()));
  }

  /**
   * Updates the view with the position that a member reported after a read.
   *
   * @param member the member
   * @param position the position of the last entry that the member had applied
   */
  public void observeApplied(MemberId member, Position position) {
    change(() -> view.observeApplied(member, position, runtime.clock().millis()));
  }

  /**
   * Updates the view when a member is leaving.
   *
   * @param member the member
   */
  public void observeLeaving(MemberId member) {
    change(() -> view.observeLeaving(member));
  }

  void observe(EndpointReply.Standing standing, long polledAt) {
    change(() -> view.observe(standing, polledAt, runtime.clock().millis()));
  }

  private void change(Runnable change) {
    CompletableFuture<Void> awaitedChange = null;
    lock.lock();
    try {
      long termBefore = view.term();
      long confirmedBefore = view.confirmedIndex();
      boolean hadPrimary = view.primary().isPresent();
      change.run();
      boolean viewChanged =
          view.term() != termBefore
              || view.confirmedIndex() != confirmedBefore
              || view.primary().isPresent() != hadPrimary;
      if (viewChanged) {
        awaitedChange = nextChange;
        nextChange = new CompletableFuture<>();
      }
      logIfPrimaryFound(hadPrimary, termBefore);
    } finally {
      lock.unlock();
    }
    if (awaitedChange != null) {
      awaitedChange.complete(null);
    }
  }

  private void logIfPrimaryFound(boolean hadPrimary, long termBefore) {
    boolean found = view.primary().isPresent() && (!hadPrimary || view.term() != termBefore);
    if (found) {
      LOG.atInfo()
          .setMessage("primary_found")
          .addKeyValue("database", database.id())
          .addKeyValue("term", view.term())
          .addKeyValue("primary", view.primary().get())
          .log();
    }
  }

  /**
   * Whether this proxy is no longer a home of the database and no connection or request uses the
   * context.
   *
   * @return true if the context may be removed
   */
  public boolean removable() {
    synchronized (share) {
      if (share.quota() > 0) {
        return false;
      }
    }
    return pools.values().stream().allMatch(MemberConnectionPool::unused);
  }

  boolean awaitingConfirmations() {
    return confirmationWaiters.get() > 0;
  }

  boolean hasRecentRequest() {
    return runtime.clock().millis() - lastRequestAt.get() < RECENT_REQUEST_MILLIS;
  }

  long term() {
    return decide(DatabaseView::term).decision();
  }

  private int allowedConnections() {
    synchronized (share) {
      return share.allowed(runtime.clock().millis());
    }
  }

  /**
   * Sets the number of connections that this proxy may hold.
   *
   * @param quota the number of connections to each member
   */
  public void assignQuota(int quota) {
    synchronized (share) {
      share.assign(quota, runtime.clock().millis());
    }
  }
}
