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
 * All that one proxy holds for one database under one record: the view, the gateways to its members
 * and the pollers that feed the view. Guarded by one lock, so that databases don't wait for each
 * other.
 */
public final class DatabaseContext implements MemberLoad {
  private static final Logger LOG = LoggerFactory.getLogger(DatabaseContext.class);
  private static final long BUSY_MILLIS = 3_000;

  private final ProxyRuntime runtime;
  private final DatabaseRecord database;
  private final AckPolicy policy;
  private final ConnectionShare share;
  private final Map<MemberId, MemberConnectionPool> gateways = new TreeMap<>();
  private final List<ProgressPoller> pollers = new ArrayList<>();
  private final AtomicInteger awaitingConfirmation = new AtomicInteger();
  private final AtomicLong lastRequestAt;

  private final ReentrantLock lock = new ReentrantLock();
  private final DatabaseView view;
  private CompletableFuture<Void> nextChange = new CompletableFuture<>();

  /**
   * A shard that knows nothing yet.
   *
   * @param runtime the proxy
   * @param database the record
   * @param share how many connections the proxy may hold to each member
   */
  public DatabaseContext(ProxyRuntime runtime, DatabaseRecord database, ConnectionShare share) {
    this.runtime = runtime;
    this.database = database;
    this.policy = AckPolicy.named(database.acknowledgement());
    this.share = share;
    this.view = new DatabaseView(database, runtime.invariants());
    this.lastRequestAt = new AtomicLong(runtime.clock().millis());
    for (MemberRecord member : database.members()) {
      gateways.put(member.id(), pool(member));
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
        runtime.invariants(),
        this::allowedConnections);
  }

  /** Starts asking the members. */
  public void start() {
    pollers.forEach(ProgressPoller::poll);
  }

  /** Stops asking the members. Requests in progress still end. */
  public void stop() {
    pollers.forEach(ProgressPoller::stop);
  }

  /** Does what is due regularly. */
  public void sweep() {
    gateways.values().forEach(MemberConnectionPool::sweep);
  }

  /**
   * The record that the shard serves.
   *
   * @return the record
   */
  public DatabaseRecord database() {
    return database;
  }

  /**
   * When writes are acknowledged.
   *
   * @return the policy that the record names
   */
  public AckPolicy policy() {
    return policy;
  }

  /**
   * The connections to a member.
   *
   * @param member a member of the database
   * @return its gateway
   */
  public MemberConnectionPool pool(MemberId member) {
    return gateways.get(member);
  }

  @Override
  public boolean idle(MemberId member) {
    return gateways.get(member).idle();
  }

  /**
   * Decides something on the view.
   *
   * @param decide the decision; runs under the shard's lock and must not block
   * @param <T> its type
   * @return the decision, with the view's next change
   */
  public <T> ViewDecision<T> decide(Function<DatabaseView, T> decide) {
    lock.lock();
    try {
      return new ViewDecision<>(decide.apply(view), nextChange);
    } finally {
      lock.unlock();
    }
  }

  /** Notes a request, so that the members are asked more often. */
  public void onRequest() {
    lastRequestAt.set(runtime.clock().millis());
  }

  /** Notes that a request waits for a confirmation, and asks the members at once. */
  public void startAwaitingConfirmation() {
    awaitingConfirmation.incrementAndGet();
    pollers.forEach(ProgressPoller::poll);
  }

  /** Notes that a request has stopped waiting for a confirmation. */
  public void stopAwaitingConfirmation() {
    awaitingConfirmation.decrementAndGet();
  }

  /**
   * Takes in that the primary ran a write.
   *
   * @param member the primary
   * @param position the write's entry
   */
  public void observeWritten(MemberId member, Position position) {
    change(() -> view.observeWritten(member, position, runtime.clock().millis()));
  }

  /**
   * Takes in what a read showed.
   *
   * @param member the member
   * @param position the last entry that it had applied
   */
  public void observeApplied(MemberId member, Position position) {
    change(() -> view.observeApplied(member, position, runtime.clock().millis()));
  }

  /**
   * Takes in that a member is leaving.
   *
   * @param member the member
   */
  public void observeLeaving(MemberId member) {
    change(() -> view.observeLeaving(member));
  }

  void observe(EndpointReply.Standing standing, long askedAt) {
    change(() -> view.observe(standing, askedAt, runtime.clock().millis()));
  }

  private void change(Runnable change) {
    CompletableFuture<Void> changed = null;
    lock.lock();
    try {
      long termBefore = view.term();
      long confirmedBefore = view.confirmedIndex();
      boolean hadPrimary = view.primary().isPresent();
      change.run();
      boolean moved =
          view.term() != termBefore
              || view.confirmedIndex() != confirmedBefore
              || view.primary().isPresent() != hadPrimary;
      if (moved) {
        changed = nextChange;
        nextChange = new CompletableFuture<>();
      }
      logPrimary(hadPrimary, termBefore);
    } finally {
      lock.unlock();
    }
    if (changed != null) {
      changed.complete(null);
    }
  }

  private void logPrimary(boolean hadPrimary, long termBefore) {
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
   * Whether this proxy is no home of the database any more and nothing runs here.
   *
   * @return true if the shard may be dropped
   */
  public boolean removable() {
    synchronized (share) {
      if (share.quota() > 0) {
        return false;
      }
    }
    return gateways.values().stream().allMatch(MemberConnectionPool::unused);
  }

  boolean awaitingConfirmations() {
    return awaitingConfirmation.get() > 0;
  }

  boolean busy() {
    return runtime.clock().millis() - lastRequestAt.get() < BUSY_MILLIS;
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
   * Assigns the proxy's share of the members' connections.
   *
   * @param quota how many connections to each member
   */
  public void assignQuota(int quota) {
    synchronized (share) {
      share.assign(quota, runtime.clock().millis());
    }
  }
}
