package org.sardinebay.standins.impeller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.http.Json;

/**
 * A complete platform on loopback: a metadata store and one service of three members. Its databases
 * {@code strict}, {@code aged} and {@code own} have one kind of route each: {@code primary}, {@code
 * bounded_staleness} and {@code read_your_writes}. Callers need no keys until {@link
 * #configureWorkspaces} is called.
 *
 * <pre>{@code
 * LineProtocolPlatform platform = LineProtocolPlatform.start(ports, clock);
 * platform.member(0).crash();
 * }</pre>
 */
public final class LineProtocolPlatform implements AutoCloseable {
  /** The name of the service. */
  public static final String SERVICE = "orders";

  /** The name of the database whose callers need no key. */
  static final String OPEN_DATABASE = "open";

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
  private int version;
  private int maxConnections = MAX_CONNECTIONS;
  private long transactionIdleMillis = TIMEOUT_MILLIS;
  private Optional<List<PlatformWorkspace>> workspaces = Optional.empty();

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
   * Writes a configuration with one workspace.
   *
   * @param key the key of its callers
   * @param operationsPerSecond its rate, which is also its burst
   */
  void limitWorkspace(String key, int operationsPerSecond) {
    workspaces =
        Optional.of(
            List.of(
                new PlatformWorkspace(
                    "workspace-" + key, operationsPerSecond, operationsPerSecond, List.of(key))));
    configure("strict", "aged", "own");
  }

  /** Sets how long a transaction may be idle, from the next configuration on. */
  void transactionIdleMillis(long millis) {
    transactionIdleMillis = millis;
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
          .put("public", database.equals(OPEN_DATABASE));
    }
    workspaces.ifPresent(
        entries -> {
          ArrayNode tenants = spec.putArray("tenants");
          entries.forEach(entry -> tenants.add(entry.toJson()));
        });
    spec.putArray("backends").addObject().put("name", SERVICE).put("maxConns", maxConnections);
    spec.putObject("limits").put("txIdleMs", transactionIdleMillis);
    store.put("config", "main", spec);
  }

  /**
   * Writes a configuration in which callers need a key of one of the given workspaces, except on
   * the additional database {@value #OPEN_DATABASE}.
   */
  void configureWorkspaces(PlatformWorkspace... entries) {
    workspaces = Optional.of(List.of(entries));
    configure("strict", "aged", "own", OPEN_DATABASE);
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

  /** Returns the runs of a request's statement at all members. */
  List<MemberRecording.RanStatement> ran(String requestId) {
    return members.stream()
        .flatMap(member -> member.recording().statements(requestId).stream())
        .toList();
  }

  List<LineMember> members() {
    return List.copyOf(members);
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
