package org.sardinebay.standins.driver;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.standins.relay.LinkSettings;

/**
 * The processes of a deployment and the relay's links between them. Each pair of communicating
 * processes has a link of its own, so that each link can be cut independently.
 */
final class Topology {
  static final String CALLERS = "callers";
  static final String PLATFORM = "platform";
  private static final String RELAY = "relay";
  static final String CONTROLLER_SUFFIX = "-controller";

  private final DeploymentSpec spec;
  private final Supplier<Address> addresses;
  private final List<Node> nodes = new ArrayList<>();
  private final List<LinkSettings> links = new ArrayList<>();

  private Topology(DeploymentSpec spec, Supplier<Address> addresses) {
    this.spec = spec;
    this.addresses = addresses;
  }

  static Topology allocate(DeploymentSpec spec, Supplier<Address> addresses) throws IOException {
    Topology topology = new Topology(spec, addresses);
    topology.addNodes();
    topology.addLinks();
    return topology;
  }

  List<Node> nodes() {
    return List.copyOf(nodes);
  }

  List<Node> nodes(ProcessKind kind) {
    return nodes.stream().filter(node -> node.kind() == kind).toList();
  }

  Node node(String name) {
    return nodes.stream().filter(node -> node.name().equals(name)).findFirst().orElseThrow();
  }

  List<LinkSettings> links() {
    return List.copyOf(links);
  }

  List<LinkSettings> linksFrom(String source) {
    return links.stream().filter(link -> link.source().equals(source)).toList();
  }

  /**
   * Returns the relay's listen address through which {@code source} connects to an address of
   * another process, or the address itself if there is no link.
   */
  Address translate(String source, Address address) {
    return linksFrom(source).stream()
        .filter(link -> link.forward().equals(address))
        .map(LinkSettings::listen)
        .findFirst()
        .orElse(address);
  }

  private void addNodes() throws IOException {
    addNode(RELAY, ProcessKind.RELAY, RELAY, "");
    addNode(PLATFORM, ProcessKind.PLATFORM, PLATFORM, "");
    for (DeploymentSpec.Database database : spec.databases()) {
      for (DeploymentSpec.Member member : database.members()) {
        addNode(member.id(), ProcessKind.ENDPOINT, database.id(), member.domain());
      }
    }
    for (DeploymentSpec.Domain domain : spec.domains()) {
      for (String host : domain.hosts()) {
        addNode(host, ProcessKind.PROXY, host, domain.name());
        addNode(host + CONTROLLER_SUFFIX, ProcessKind.CONTROLLER, host, domain.name());
      }
    }
  }

  private void addNode(String name, ProcessKind kind, String group, String domain)
      throws IOException {
    Address listen = addresses.get();
    boolean hasPeers = kind == ProcessKind.PROXY || kind == ProcessKind.CONTROLLER;
    nodes.add(new Node(name, kind, group, domain, listen, hasPeers ? addresses.get() : listen));
  }

  private void addLinks() throws IOException {
    for (Node target : nodes) {
      if (target.kind() == ProcessKind.PROXY || target.kind() == ProcessKind.ENDPOINT) {
        addLink(CALLERS, target.name(), target.listen(), spec.latency().clientMillis());
      }
      for (Node source : nodes) {
        if (connects(source, target)) {
          addLink(source.name(), target.name(), target.peerListen(), delayMillis(source, target));
        }
      }
    }
  }

  private void addLink(String source, String target, Address forward, long delayMillis)
      throws IOException {
    links.add(new LinkSettings(source, target, addresses.get(), forward, delayMillis));
  }

  private static boolean connects(Node source, Node target) {
    if (source.equals(target)) {
      return false;
    }
    boolean sourceIsProxyOrController =
        source.kind() == ProcessKind.PROXY || source.kind() == ProcessKind.CONTROLLER;
    return switch (target.kind()) {
      case RELAY -> false;
      case PLATFORM -> source.kind() == ProcessKind.CONTROLLER;
      case ENDPOINT -> sourceIsProxyOrController || source.group().equals(target.group());
      case PROXY, CONTROLLER -> sourceIsProxyOrController;
    };
  }

  private long delayMillis(Node source, Node target) {
    boolean sameRegion = spec.regionOf(source.domain()).equals(spec.regionOf(target.domain()));
    return sameRegion || target.kind() == ProcessKind.PLATFORM
        ? spec.latency().withinRegionMillis()
        : spec.latency().betweenRegionsMillis();
  }
}
