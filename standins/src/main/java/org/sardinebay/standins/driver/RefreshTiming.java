package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.version.ConfigSnapshot;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.ControllerInfo;
import org.sardinebay.internal.version.VersionedRecord;
import org.sardinebay.internal.version.WatcherAssignment;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.proxy.internal.process.ProxyIdentity;
import org.sardinebay.proxy.internal.version.HomeOrder;
import org.sardinebay.record.DatabaseRecord;

/**
 * Measures, in this JVM and without I/O, the CPU time of the computations that a process repeats
 * after a configuration change.
 *
 * <pre>{@code
 * RefreshTiming.Cost cost = new RefreshTiming(650, 430).measure();
 * }</pre>
 */
final class RefreshTiming {
  private static final int DOMAINS = 8;
  private static final int MEMBERS_PER_DATABASE = 3;
  private static final int WARM_UP_ROUNDS = 3;
  private static final int ROUNDS = 5;
  private static final int CONNECTION_LIMIT = 20;
  private static final int SLOTS = 3;
  private static final double NANOS_PER_MILLI = 1_000_000;

  private final int databases;
  private final int hosts;
  private long nextVersion;

  RefreshTiming(int databases, int hosts) {
    this.databases = databases;
    this.hosts = hosts;
  }

  /**
   * CPU time for one change, in milliseconds.
   *
   * @param mergeMillis the time to merge one record and build the snapshot of typed records
   * @param homeOrderMillis the time to order the homes of all databases, at a proxy
   * @param watchAssignmentMillis the time to assign the watches of all databases, at a controller
   */
  record Cost(double mergeMillis, double homeOrderMillis, double watchAssignmentMillis) {}

  Cost measure() {
    ConfigStore store = filledStore();
    for (int round = 0; round < WARM_UP_ROUNDS; round++) {
      measureOnce(store);
    }
    List<Cost> costs = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      costs.add(measureOnce(store));
    }
    return new Cost(
        costs.stream().mapToDouble(Cost::mergeMillis).average().orElseThrow(),
        costs.stream().mapToDouble(Cost::homeOrderMillis).average().orElseThrow(),
        costs.stream().mapToDouble(Cost::watchAssignmentMillis).average().orElseThrow());
  }

  private Cost measureOnce(ConfigStore store) {
    return new Cost(
        cpuMillis(() -> store.merge(database(0))),
        cpuMillis(() -> orderHomes(store.snapshot())),
        cpuMillis(() -> assignWatches(store.snapshot())));
  }

  private static double cpuMillis(Runnable work) {
    long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    work.run();
    long after = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    return (after - before) / NANOS_PER_MILLI;
  }

  private static void orderHomes(ConfigSnapshot snapshot) {
    ProxyIdentity self = new ProxyIdentity(new HostId(host(0)), new FailureDomain(domain(0)));
    HomeOrder order = new HomeOrder(snapshot, self);
    for (DatabaseRecord database : snapshot.databases().values()) {
      order.homes(database);
      order.rank(database);
    }
  }

  private static void assignWatches(ConfigSnapshot snapshot) {
    List<ControllerInfo> controllers =
        snapshot.proxies().values().stream()
            .map(
                proxy ->
                    new ControllerInfo(proxy.host(), proxy.failureDomain(), proxy.peerAddress()))
            .toList();
    WatcherAssignment assignment = new WatcherAssignment(controllers.get(0), controllers);
    assignment.assignedWatches(snapshot.databases().values());
    assignment.platformWatchers();
  }

  private ConfigStore filledStore() {
    ConfigStore store = new ConfigStore();
    List<VersionedRecord> records = new ArrayList<>();
    for (int number = 0; number < databases; number++) {
      records.add(database(number));
    }
    for (int number = 0; number < hosts; number++) {
      records.add(proxy(number));
    }
    records.forEach(store::merge);
    ConfigSnapshot snapshot = store.snapshot();
    if (snapshot.databases().size() != databases || snapshot.proxies().size() != hosts) {
      throw new IllegalStateException("the configuration store did not accept all records");
    }
    return store;
  }

  private VersionedRecord database(int number) {
    ObjectNode body =
        Json.newObject()
            .put("schemaVersion", 1)
            .put("service", "capacity-db")
            .put("connectionLimit", CONNECTION_LIMIT)
            .put("slots", SLOTS)
            .put("acknowledgement", "majority");
    ArrayNode members = body.putArray("members");
    for (int member = 0; member < MEMBERS_PER_DATABASE; member++) {
      members
          .addObject()
          .put("id", "capacity-" + number + "-" + member)
          .put("address", address(number * MEMBERS_PER_DATABASE + member).toString())
          .put("failureDomain", domain(number + member));
    }
    return record("databases", "capacity-" + number, body);
  }

  private VersionedRecord proxy(int number) {
    String address = address(number).toString();
    ObjectNode body =
        Json.newObject()
            .put("schemaVersion", 1)
            .put("failureDomain", domain(number))
            .put("callerAddress", address)
            .put("peerAddress", address)
            .put("controllerAddress", address);
    return record("proxies", host(number), body);
  }

  private VersionedRecord record(String kind, String name, ObjectNode body) {
    return new VersionedRecord(new ObjectKey(kind, name), ++nextVersion, false, body);
  }

  private static String host(int number) {
    return "entry-" + number;
  }

  private static String domain(int number) {
    return "domain-" + number % DOMAINS;
  }

  private static Address address(int number) {
    return new Address("127.0.0.1", 1_024 + number);
  }
}
