package org.sardinebay.proxy.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sardinebay.Address;
import org.sardinebay.Answer;
import org.sardinebay.CallerId;
import org.sardinebay.DatabaseId;
import org.sardinebay.Failure;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;
import org.sardinebay.internal.request.WriteMachine;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.ConfigViews;
import org.sardinebay.internal.version.ConnectionShare;
import org.sardinebay.internal.version.HomeSelector;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.proxy.internal.version.DatabaseContext;
import org.sardinebay.proxy.internal.version.Home;
import org.sardinebay.proxy.internal.version.HomeOrder;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;
import org.sardinebay.record.ProxyRecord;
import org.sardinebay.record.StalenessRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fleet as the newest configuration describes it: which databases there are, where their homes
 * are, and the shards of those that have a home here.
 *
 * <pre>{@code
 * fleet.refresh(); // after each change of the configuration
 * List<Home> homes = fleet.homes(database);
 * }</pre>
 */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  private final ProxyRuntime runtime;
  private final ConfigStore store;
  private final Map<DatabaseId, DatabaseContext> contexts = new ConcurrentHashMap<>();
  private volatile Map<DatabaseId, List<Home>> homes = Map.of();

  /**
   * A fleet that is not known yet.
   *
   * @param runtime the proxy
   * @param store the configuration
   */
  public Fleet(ProxyRuntime runtime, ConfigStore store) {
    this.runtime = runtime;
    this.store = store;
  }

  /** Applies the newest configuration. */
  public synchronized void refresh() {
    ConfigViews views = store.views();
    HomeOrder order = new HomeOrder(views, runtime.identity());
    Map<DatabaseId, List<Home>> ordered = new HashMap<>();
    for (DatabaseRecord database : views.databases().values()) {
      ordered.put(database.id(), order.homes(database));
      refreshShard(database, order.rank(database));
    }
    homes = Map.copyOf(ordered);
    contexts.keySet().stream().filter(id -> !ordered.containsKey(id)).toList().forEach(this::drop);
    markLeaving(views);
  }

  private void refreshShard(DatabaseRecord database, int rank) {
    int domains = HomeSelector.domains(database).size();
    int quota = ConnectionShare.quota(database.connectionLimit(), domains, rank);
    DatabaseContext shard = contexts.get(database.id());
    boolean replaced = shard != null && !shard.database().equals(database);
    if (replaced) {
      drop(database.id());
      shard = null;
    }
    boolean needed = rank != Integer.MAX_VALUE;
    if (shard == null && needed) {
      shard = new DatabaseContext(runtime, database, new ConnectionShare());
      shard.assignQuota(quota);
      contexts.put(database.id(), shard);
      shard.start();
      LOG.atInfo()
          .setMessage("home_taken")
          .addKeyValue("database", database.id())
          .addKeyValue("rank", rank)
          .addKeyValue("quota", quota)
          .log();
    } else if (shard != null) {
      shard.assignQuota(quota);
    }
  }

  /** Does what is due regularly; drops the shards of former homes once nothing runs on them. */
  public void sweep() {
    contexts.values().forEach(DatabaseContext::sweep);
    if (contexts.values().stream().anyMatch(DatabaseContext::removable)) {
      dropRetired();
    }
  }

  private synchronized void dropRetired() {
    for (DatabaseContext shard : List.copyOf(contexts.values())) {
      if (shard.removable()) {
        drop(shard.database().id());
      }
    }
  }

  private void drop(DatabaseId database) {
    DatabaseContext shard = contexts.remove(database);
    if (shard != null) {
      shard.assignQuota(0);
      shard.stop();
      shard.sweep();
    }
  }

  private void markLeaving(ConfigViews views) {
    for (HostEntry host : views.hosts()) {
      if (host.leaving()) {
        MemberId member = new MemberId(host.name());
        contexts.values().stream()
            .filter(shard -> hasMember(shard, member))
            .forEach(shard -> shard.observeLeaving(member));
      }
    }
  }

  private static boolean hasMember(DatabaseContext shard, MemberId member) {
    return shard.database().members().stream().map(MemberRecord::id).anyMatch(member::equals);
  }

  /**
   * The shard of a database that has a home here.
   *
   * @param database the database
   * @return the shard, empty if this proxy is no home of it
   */
  public Optional<DatabaseContext> context(DatabaseId database) {
    return Optional.ofNullable(contexts.get(database));
  }

  /**
   * All shards of this proxy.
   *
   * @return the shards
   */
  public List<DatabaseContext> contexts() {
    return List.copyOf(contexts.values());
  }

  /**
   * The homes of a database, in the order in which this proxy tries them.
   *
   * @param database the database
   * @return the homes, none if no record describes the database
   */
  public List<Home> homes(DatabaseId database) {
    return homes.getOrDefault(database, List.of());
  }

  /**
   * The answer to a request for a database that has no home here.
   *
   * @param database the database
   * @return refused if there is no such database, else not-run
   */
  public Answer answerWithoutContext(DatabaseId database) {
    if (!configured()) {
      return new Answer.NotRun(
          new Failure.NoConfiguration(), WriteMachine.RETRY_AFTER_OVERLOAD_MILLIS);
    }
    return store.databases().containsKey(database)
        ? new Answer.NotRun(new Failure.HomeUnreachable(), WriteMachine.RETRY_AFTER_OVERLOAD_MILLIS)
        : new Answer.Refused(new Failure.UnknownDatabase(database));
  }

  /**
   * Whether any configuration has arrived.
   *
   * @return false on a host that has just started
   */
  public boolean configured() {
    return !store.databases().isEmpty();
  }

  /**
   * Where another proxy takes forwarded requests.
   *
   * @param host its entry host
   * @return the address, empty if no record describes the host
   */
  public Optional<Address> peerAddress(HostId host) {
    return Optional.ofNullable(store.proxies().get(host)).map(ProxyRecord::peerAddress);
  }

  /**
   * The greatest age that the staleness rules allow a caller.
   *
   * @param database the database
   * @param caller the caller
   * @return milliseconds, {@code Long.MAX_VALUE} if no rule matches
   */
  public long maxStalenessMillis(DatabaseId database, CallerId caller) {
    String service =
        Optional.ofNullable(store.databases().get(database))
            .map(DatabaseRecord::service)
            .orElse("");
    return store.stalenessRules().stream()
        .filter(rule -> caller.value().startsWith(rule.callerPrefix()))
        .filter(rule -> covers(rule, database, service))
        .mapToLong(StalenessRecord::maxAgeMillis)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static boolean covers(StalenessRecord rule, DatabaseId database, String service) {
    String name = rule.database();
    return name.equals("*") || name.equals(database.value()) || name.equals(service);
  }
}
