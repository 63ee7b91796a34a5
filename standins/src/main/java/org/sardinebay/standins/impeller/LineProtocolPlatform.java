package org.sardinebay.standins.impeller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.http.Json;

/**
 * A complete platform on loopback: a metadata store and one service of three members. Its databases
 * {@code strict}, {@code aged} and {@code own} have one kind of route each: {@code primary}, {@code
 * bounded_staleness} and {@code read_your_writes}.
 *
 * <pre>{@code
 * LineProtocolPlatform platform = LineProtocolPlatform.start(ports, clock);
 * platform.member(0).crash();
 * }</pre>
 */
public final class LineProtocolPlatform implements AutoCloseable {
  /** The name of the service. */
  public static final String SERVICE = "orders";

  private static final int MEMBERS = 3;
  private static final int SLOTS = 3;
  private static final int MAX_CONNECTIONS = 12;
  private static final long LAG_MILLIS = 20;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final long MAX_STALENESS_MILLIS = 1_500;

  private final MemberGroup group;
  private final MetadataStore store;
  private final Address address;
  private final List<LineMember> members = new ArrayList<>();
  private final Map<String, String> workspaceByKey = new LinkedHashMap<>();
  private int version;
  private int maxConnections = MAX_CONNECTIONS;

  private LineProtocolPlatform(MemberGroup group, MetadataStore store, Address address) {
    this.group = group;
    this.store = store;
    this.address = address;
  }

  /**
   * Starts a platform.
   *
   * @param ports supplies free loopback addresses
   * @param clock the clock for the replication lag
   * @return the running platform
   * @throws IOException if an address can't be bound
   */
  public static LineProtocolPlatform start(Supplier<Address> ports, Clock clock)
      throws IOException {
    MemberGroup group = new MemberGroup(clock);
    Address address = ports.get();
    LineProtocolPlatform platform =
        new LineProtocolPlatform(group, MetadataStore.start(address, group), address);
    for (int i = 0; i < MEMBERS; i++) {
      String id = "m-" + (i + 1);
      group.add(id, i == 0, LAG_MILLIS);
      LineMember member = new LineMember(id, SERVICE, ports.get(), group, MAX_CONNECTIONS);
      member.start();
      platform.members.add(member);
      platform.register(i, "ready");
    }
    platform.configure("strict", "aged", "own");
    return platform;
  }

  /**
   * Writes a configuration with the given connection limit. The members still enforce their default
   * limit.
   */
  void limitConnections(int limit) {
    maxConnections = limit;
    configure("strict", "aged", "own");
  }

  /**
   * Writes a configuration with workspaces. The key of each is its name with "-key" added; the
   * database "aged" is open to callers without a key.
   */
  void configureWorkspaces(String... names) {
    for (String name : names) {
      workspaceByKey.put(name + "-key", name);
    }
    configure("strict", "aged", "own");
  }

  /** Writes a configuration in which a key belongs to another workspace. */
  void moveKey(String key, String workspace) {
    workspaceByKey.put(key, workspace);
    configure("strict", "aged", "own");
  }

  /** Returns the version of the last configuration. */
  int version() {
    return version;
  }

  /** Writes a configuration with the given databases, whose names determine the kind of route. */
  void configure(String... databases) {
    version += 3;
    ObjectNode spec = Json.newObject().put("version", version).put("unknownField", true);
    ArrayNode routes = spec.putArray("routes");
    for (String database : databases) {
      routes
          .addObject()
          .put("name", "r-" + database)
          .put("host", database)
          .put("kind", kind(database))
          .put("timeoutMs", TIMEOUT_MILLIS)
          .put("targetLatencyMs", TIMEOUT_MILLIS)
          .put("priority", 1)
          .put("backend", SERVICE)
          .put("maxStalenessMs", MAX_STALENESS_MILLIS)
          .put("public", database.equals("aged"));
    }
    if (!workspaceByKey.isEmpty()) {
      ArrayNode tenants = spec.putArray("tenants");
      for (String name : Set.copyOf(workspaceByKey.values())) {
        ArrayNode keys = tenants.addObject().put("name", name).putArray("apiKeys");
        workspaceByKey.entrySet().stream()
            .filter(entry -> entry.getValue().equals(name))
            .forEach(entry -> keys.add(entry.getKey()));
      }
    }
    spec.putArray("backends").addObject().put("name", SERVICE).put("maxConns", maxConnections);
    spec.putObject("limits").put("txIdleMs", TIMEOUT_MILLIS);
    store.put("config", "main", spec);
  }

  private static String kind(String database) {
    return switch (database) {
      case "aged" -> "bounded_staleness";
      case "own" -> "read_your_writes";
      default -> "primary";
    };
  }

  /** Writes the entry of a member to the store. */
  void register(int index, String state) {
    LineMember member = members.get(index);
    store.put("servers", member.id(), entry(member, state));
  }

  private JsonNode entry(LineMember member, String state) {
    return Json.newObject()
        .put("backend", SERVICE)
        .put("addr", member.address().toString())
        .put("zone", "hall-" + member.id())
        .put("version", "v1")
        .put("slots", SLOTS)
        .put("state", state)
        .put("coldLeftMs", 0)
        .put("dbRole", group.isPrimary(member.id()) ? "primary" : "replica")
        .put("seq", 1);
  }

  LineMember member(int index) {
    return members.get(index);
  }

  MetadataStore store() {
    return store;
  }

  MemberGroup group() {
    return group;
  }

  Address address() {
    return address;
  }

  @Override
  public void close() throws IOException {
    for (LineMember member : members) {
      member.close();
    }
  }
}
