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
import org.sardinebay.internal.request.WriteStateMachine;
import org.sardinebay.internal.version.ConfigSnapshot;
import org.sardinebay.internal.version.ConfigStore;
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
 * The databases of the latest configuration, their homes, and the contexts of the databases that
 * this proxy is a home of.
 *
 * <pre>{@code
 * databaseRegistry.refresh(); // after each change of the configuration
 * List<Home> homes = databaseRegistry.homes(database);
 * }</pre>
 */
public final class DatabaseRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(DatabaseRegistry.class);

  private final ProxyRuntime runtime;
  private final ConfigStore store;
  private final Map<DatabaseId, DatabaseContext> contexts = new ConcurrentHashMap<>();
  private volatile Map<DatabaseId, List<Home>> homes = Map.of();

  /**
   * Creates an empty registry.
   *
   * @param runtime the shared services of the proxy
   * @param store the store of the configuration
   */
  public DatabaseRegistry(ProxyRuntime runtime, ConfigStore store) {
    this.runtime = runtime;
    this.store = store;
  }

  /** Applies the latest configuration. */
  public synchronized void refresh() {
    ConfigSnapshot configSnapshot = store.snapshot();
    HomeOrder order = new HomeOrder(configSnapshot, runtime.identity());
    Map<DatabaseId, List<Home>> ordered = new HashMap<>();
    for (DatabaseRecord database : configSnapshot.databases().values()) {
      ordered.put(database.id(), order.homes(database));
      refreshContext(database, order.rank(database));
    }
    homes = Map.copyOf(ordered);
    contexts.keySet().stream()
        .filter(id -> !ordered.containsKey(id))
        .toList()
        .forEach(this::removeContext);
    markLeaving(configSnapshot);
  }

  private void refreshContext(DatabaseRecord database, int rank) {
    int domains = HomeSelector.domains(database).size();
    int quota = ConnectionShare.quota(database.connectionLimit(), domains, rank);
    DatabaseContext context = contexts.get(database.id());
    boolean recordChanged = context != null && !context.database().equals(database);
    if (recordChanged) {
      removeContext(database.id());
      context = null;
    }
    boolean isHome = rank != Integer.MAX_VALUE;
    if (context == null && isHome) {
      context = new DatabaseContext(runtime, database, new ConnectionShare());
      context.assignQuota(quota);
      contexts.put(database.id(), context);
      context.start();
      LOG.atInfo()
          .setMessage("home_taken")
          .addKeyValue("database", database.id())
          .addKeyValue("rank", rank)
          .addKeyValue("quota", quota)
          .log();
    } else if (context != null) {
      context.assignQuota(quota);
    }
  }

  /**
   * Runs periodic maintenance; removes the contexts of databases that this proxy is no longer a
   * home of, once nothing uses them.
   */
  public void sweep() {
    contexts.values().forEach(DatabaseContext::sweep);
    if (contexts.values().stream().anyMatch(DatabaseContext::removable)) {
      removeUnusedContexts();
    }
  }

  private synchronized void removeUnusedContexts() {
    for (DatabaseContext context : List.copyOf(contexts.values())) {
      if (context.removable()) {
        removeContext(context.database().id());
      }
    }
  }

  private void removeContext(DatabaseId database) {
    DatabaseContext context = contexts.remove(database);
    if (context != null) {
      context.assignQuota(0);
      context.stop();
      context.sweep();
    }
  }

  private void markLeaving(ConfigSnapshot configSnapshot) {
    for (HostEntry host : configSnapshot.hosts()) {
      if (host.leaving()) {
        MemberId member = new MemberId(host.name());
        contexts.values().stream()
            .filter(context -> hasMember(context, member))
            .forEach(context -> context.observeLeaving(member));
      }
    }
  }

  private static boolean hasMember(DatabaseContext context, MemberId member) {
    return context.database().members().stream().map(MemberRecord::id).anyMatch(member::equals);
  }

  /**
   * The context of a database that this proxy is a home of.
   *
   * @param database the database
   * @return the context, empty if this proxy is not a home of the database; a former home keeps the
   *     context until no connection or request uses it
   */
  public Optional<DatabaseContext> context(DatabaseId database) {
    return Optional.ofNullable(contexts.get(database));
  }

  /**
   * The contexts of all databases that this proxy is a home of, and those that it still keeps as a
   * former home.
   *
   * @return the contexts
   */
  public List<DatabaseContext> contexts() {
    return List.copyOf(contexts.values());
  }

  /**
   * The homes of a database, in the order in which this proxy tries them.
   *
   * @param database the database
   * @return the homes, empty if no configuration record describes the database
   */
  public List<Home> homes(DatabaseId database) {
    return homes.getOrDefault(database, List.of());
  }

  /**
   * The answer to a request for a database that has no context on this proxy.
   *
   * @param database the database
   * @return refused if the configuration has no such database; not-run if it has, or if no
   *     configuration has arrived yet
   */
  public Answer answerWithoutContext(DatabaseId database) {
    if (!configured()) {
      return new Answer.NotRun(
          new Failure.NoConfiguration(), WriteStateMachine.RETRY_AFTER_OVERLOAD_MILLIS);
    }
    return store.databases().containsKey(database)
        ? new Answer.NotRun(
            new Failure.HomeUnreachable(), WriteStateMachine.RETRY_AFTER_OVERLOAD_MILLIS)
        : new Answer.Refused(new Failure.UnknownDatabase(database));
  }

  /**
   * Whether any configuration has arrived.
   *
   * @return false until the first database record arrives after a start
   */
  public boolean configured() {
    return !store.databases().isEmpty();
  }

  /**
   * The address at which another proxy accepts forwarded requests.
   *
   * @param host the host of the proxy
   * @return the address, empty if no configuration record describes the host
   */
  public Optional<Address> peerAddress(HostId host) {
    return Optional.ofNullable(store.proxies().get(host)).map(ProxyRecord::peerAddress);
  }

  /**
   * The maximum staleness that the staleness rules allow a caller.
   *
   * @param database the database
   * @param caller the caller
   * @return the staleness in milliseconds, {@code Long.MAX_VALUE} if no rule matches
   */
  public long maxStalenessMillis(DatabaseId database, CallerId caller) {
    String service =
        Optional.ofNullable(store.databases().get(database))
            .map(DatabaseRecord::service)
            .orElse("");
    return store.stalenessRules().stream()
        .filter(rule -> caller.value().startsWith(rule.callerPrefix()))
        .filter(rule -> appliesTo(rule, database, service))
        .mapToLong(StalenessRecord::maxAgeMillis)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static boolean appliesTo(StalenessRecord rule, DatabaseId database, String service) {
    String name = rule.database();
    return name.equals("*") || name.equals(database.value()) || name.equals(service);
  }
}
