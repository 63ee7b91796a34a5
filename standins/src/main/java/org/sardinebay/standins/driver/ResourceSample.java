package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Clock;

/**
 * The resource usage of a deployment's processes: counters since their start, and resident memory.
 *
 * <pre>{@code
 * ResourceSample before = ResourceSample.take(deployment, clock);
 * ResourceSample after = ResourceSample.take(deployment, clock);
 * Map<Quantity, Double> used = after.since(before);
 * }</pre>
 */
final class ResourceSample {
  private static final int MAX_FETCH_ATTEMPTS = 5;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double KILOBYTES_PER_MEGABYTE = 1_024;
  private static final String RESIDENT = "VmRSS:";

  private final long atMillis;
  private final Map<ProcessKind, Integer> processes = new EnumMap<>(ProcessKind.class);
  private final Map<ProcessKind, Double> cpuMillis = new EnumMap<>(ProcessKind.class);
  private final Map<ProcessKind, Double> residentMegabytes = new EnumMap<>(ProcessKind.class);
  private final Map<LinkGroup, LinkTraffic> traffic = new HashMap<>();
  private final JsonNode platform;

  /** All links from processes of the source kind to processes of the target kind. */
  private record LinkGroup(ProcessKind source, ProcessKind target) {}

  private record LinkTraffic(double messages, double bytes) {
    static final LinkTraffic NONE = new LinkTraffic(0, 0);

    LinkTraffic plus(LinkTraffic other) {
      return new LinkTraffic(messages + other.messages, bytes + other.bytes);
    }

    LinkTraffic minus(LinkTraffic other) {
      return new LinkTraffic(messages - other.messages, bytes - other.bytes);
    }
  }

  private ResourceSample(long atMillis, JsonNode platform) {
    this.atMillis = atMillis;
    this.platform = platform;
  }

  static ResourceSample take(Deployment deployment, Clock clock) throws IOException {
    Node relay = deployment.topology().nodes(ProcessKind.RELAY).get(0);
    JsonNode platform = fetchWithRetry("platform", deployment.controls()::platformCounters);
    JsonNode links = fetchWithRetry("relay", () -> deployment.controls().dump(relay));
    ResourceSample sample = new ResourceSample(clock.millis(), platform);
    for (Node node : deployment.topology().nodes()) {
      sample.addProcess(node.kind(), deployment.process(node.name()).handle());
    }
    links.path("links").forEach(link -> sample.addLink(deployment.topology(), link));
    return sample;
  }

  private static JsonNode fetchWithRetry(String name, Query query) throws IOException {
    for (int i = 0; i < MAX_FETCH_ATTEMPTS; i++) {
      Optional<JsonNode> result = query.fetch();
      if (result.isPresent()) {
        return result.get();
      }
    }
    throw new IOException("no response from the " + name);
  }

  private interface Query {
    Optional<JsonNode> fetch();
  }

  private void addProcess(ProcessKind kind, ProcessHandle handle) {
    Duration cpu = handle.info().totalCpuDuration().orElse(Duration.ZERO);
    processes.merge(kind, 1, Integer::sum);
    cpuMillis.merge(kind, (double) cpu.toMillis(), Double::sum);
    residentMegabytes.merge(kind, residentMegabytes(handle.pid()), Double::sum);
  }

  private static double residentMegabytes(long pid) {
    try {
      List<String> status = Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"));
      return status.stream()
          .filter(line -> line.startsWith(RESIDENT))
          .map(line -> line.substring(RESIDENT.length()).strip().split(" ", -1)[0])
          .mapToDouble(kilobytes -> Long.parseLong(kilobytes) / KILOBYTES_PER_MEGABYTE)
          .sum();
    } catch (IOException e) {
      return Double.NaN;
    }
  }

  private void addLink(Topology topology, JsonNode link) {
    String source = link.path("source").asText();
    if (source.equals(Topology.CALLERS)) {
      return;
    }
    LinkGroup group =
        new LinkGroup(
            topology.node(source).kind(), topology.node(link.path("target").asText()).kind());
    LinkTraffic linkTraffic =
        new LinkTraffic(link.path("messages").asDouble(), link.path("bytes").asDouble());
    traffic.merge(group, linkTraffic, LinkTraffic::plus);
  }

  /**
   * Returns each rate over the interval between an earlier sample and this one, and the resident
   * memory at this sample; NaN if it can't be read.
   */
  Map<Quantity, Double> since(ResourceSample earlier) {
    Map<Quantity, Double> used = new EnumMap<>(Quantity.class);
    used.put(Quantity.PROXY_CPU_MS_PER_S, cpuMillisPerSecond(earlier, ProcessKind.PROXY));
    used.put(Quantity.CONTROLLER_CPU_MS_PER_S, cpuMillisPerSecond(earlier, ProcessKind.CONTROLLER));
    used.put(Quantity.MEMBER_CPU_MS_PER_S, cpuMillisPerSecond(earlier, ProcessKind.ENDPOINT));
    used.put(Quantity.PLATFORM_CPU_MS_PER_S, cpuMillisPerSecond(earlier, ProcessKind.PLATFORM));
    used.put(Quantity.PROXY_RESIDENT_MB, meanResidentMegabytes(ProcessKind.PROXY));
    used.put(Quantity.CONTROLLER_RESIDENT_MB, meanResidentMegabytes(ProcessKind.CONTROLLER));
    used.put(Quantity.MEMBER_RESIDENT_MB, meanResidentMegabytes(ProcessKind.ENDPOINT));
    used.put(Quantity.PLATFORM_RESIDENT_MB, meanResidentMegabytes(ProcessKind.PLATFORM));
    putTraffic(used, earlier);
    used.put(Quantity.PLATFORM_READS_PER_S, platformCallsPerSecond(earlier, "reads"));
    used.put(Quantity.PLATFORM_WRITES_PER_S, platformCallsPerSecond(earlier, "writes"));
    used.put(Quantity.PLATFORM_WATCHES_PER_S, platformCallsPerSecond(earlier, "watches"));
    return used;
  }

  private void putTraffic(Map<Quantity, Double> used, ResourceSample earlier) {
    LinkTraffic proxyToMembers = rate(earlier, ProcessKind.PROXY, ProcessKind.ENDPOINT);
    used.put(Quantity.PROXY_MEMBER_CALLS_PER_S, proxyToMembers.messages());
    used.put(Quantity.PROXY_MEMBER_BYTES_PER_S, proxyToMembers.bytes());
    LinkTraffic proxyToPeers =
        rate(earlier, ProcessKind.PROXY, ProcessKind.PROXY)
            .plus(rate(earlier, ProcessKind.PROXY, ProcessKind.CONTROLLER));
    used.put(Quantity.PROXY_PEER_MESSAGES_PER_S, proxyToPeers.messages());
    used.put(Quantity.PROXY_PEER_BYTES_PER_S, proxyToPeers.bytes());
    LinkTraffic controllerToMembers = rate(earlier, ProcessKind.CONTROLLER, ProcessKind.ENDPOINT);
    used.put(Quantity.CONTROLLER_MEMBER_CALLS_PER_S, controllerToMembers.messages());
    used.put(Quantity.CONTROLLER_MEMBER_BYTES_PER_S, controllerToMembers.bytes());
    LinkTraffic controllerToPeers =
        rate(earlier, ProcessKind.CONTROLLER, ProcessKind.CONTROLLER)
            .plus(rate(earlier, ProcessKind.CONTROLLER, ProcessKind.PROXY));
    used.put(Quantity.CONTROLLER_PEER_MESSAGES_PER_S, controllerToPeers.messages());
    used.put(Quantity.CONTROLLER_PEER_BYTES_PER_S, controllerToPeers.bytes());
    LinkTraffic controllerToPlatform = rate(earlier, ProcessKind.CONTROLLER, ProcessKind.PLATFORM);
    used.put(Quantity.CONTROLLER_PLATFORM_CALLS_PER_S, controllerToPlatform.messages());
    used.put(Quantity.CONTROLLER_PLATFORM_BYTES_PER_S, controllerToPlatform.bytes());
    LinkTraffic pulls = rate(earlier, ProcessKind.ENDPOINT, ProcessKind.ENDPOINT);
    used.put(Quantity.MEMBER_PULLS_PER_S, pulls.messages());
    used.put(Quantity.MEMBER_PULL_BYTES_PER_S, pulls.bytes());
  }

  private double cpuMillisPerSecond(ResourceSample earlier, ProcessKind kind) {
    double used = cpuMillis.get(kind) - earlier.cpuMillis.get(kind);
    return used / processes.get(kind) / secondsSince(earlier);
  }

  private double meanResidentMegabytes(ProcessKind kind) {
    return residentMegabytes.get(kind) / processes.get(kind);
  }

  private LinkTraffic rate(ResourceSample earlier, ProcessKind source, ProcessKind target) {
    LinkGroup group = new LinkGroup(source, target);
    LinkTraffic linkTraffic =
        traffic
            .getOrDefault(group, LinkTraffic.NONE)
            .minus(earlier.traffic.getOrDefault(group, LinkTraffic.NONE));
    double processSeconds = processes.get(source) * secondsSince(earlier);
    return new LinkTraffic(
        linkTraffic.messages() / processSeconds, linkTraffic.bytes() / processSeconds);
  }

  private double platformCallsPerSecond(ResourceSample earlier, String kind) {
    double callCount = platform.path(kind).asDouble() - earlier.platform.path(kind).asDouble();
    return callCount / secondsSince(earlier);
  }

  private double secondsSince(ResourceSample earlier) {
    return (atMillis - earlier.atMillis) / MILLIS_PER_SECOND;
  }
}
