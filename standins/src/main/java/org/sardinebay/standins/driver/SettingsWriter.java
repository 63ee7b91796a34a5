package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sardinebay.net.http.Json;
import org.sardinebay.standins.relay.LinkSettings;

/**
 * Writes the settings file of each process and builds the configuration records of the deployment.
 */
final class SettingsWriter {
  private static final int READS_PER_SECOND = 2_000;
  private static final int WRITES_PER_SECOND = 400;
  private static final int HOST_LIST_LAG_MILLIS = 1_000;
  private static final int SHUTDOWN_GRACE_MILLIS = 1_000;
  static final int APPLY_LAG_MILLIS = 5;
  private static final String TOKEN_SECRET = "a secret of the stand-ins, known to all";

  private final DeploymentSpec spec;
  private final Topology topology;
  private final Path folder;

  SettingsWriter(DeploymentSpec spec, Topology topology, Path folder) {
    this.spec = spec;
    this.topology = topology;
    this.folder = folder;
  }

  Path write(Node node) throws IOException {
    ObjectNode settings =
        switch (node.kind()) {
          case RELAY -> relay(node);
          case PLATFORM -> platform(node);
          case ENDPOINT -> endpoint(node);
          case CONTROLLER -> controller(node);
          case PROXY -> proxy(node);
        };
    Path file = folder.resolve(node.name() + ".json");
    Files.writeString(file, Json.pretty(settings));
    return file;
  }

  ObjectNode databaseRecord(DeploymentSpec.Database database, String acknowledgement) {
    ObjectNode body =
        Json.newObject()
            .put("schemaVersion", 1)
            .put("service", spec.service())
            .put("connectionLimit", spec.connectionLimit())
            .put("slots", spec.slots())
            .put("acknowledgement", acknowledgement);
    ArrayNode members = body.putArray("members");
    for (DeploymentSpec.Member member : database.members()) {
      members
          .addObject()
          .put("id", member.id())
          .put("address", topology.node(member.id()).listen().toString())
          .put("failureDomain", member.domain());
    }
    return body;
  }

  ObjectNode proxyRecord(Node proxy) {
    Node controller =
        topology.nodes(ProcessKind.CONTROLLER).stream()
            .filter(node -> node.group().equals(proxy.group()))
            .findFirst()
            .orElseThrow();
    return Json.newObject()
        .put("schemaVersion", 1)
        .put("failureDomain", proxy.domain())
        .put("callerAddress", proxy.listen().toString())
        .put("peerAddress", proxy.peerListen().toString())
        .put("controllerAddress", controller.peerListen().toString());
  }

  private ObjectNode relay(Node node) {
    ObjectNode settings = Json.newObject().put("listen", node.listen().toString());
    ArrayNode links = settings.putArray("links");
    for (LinkSettings link : topology.links()) {
      links
          .addObject()
          .put("source", link.source())
          .put("target", link.target())
          .put("listen", link.listen().toString())
          .put("forward", link.forward().toString())
          .put("delayMillis", link.delayMillis());
    }
    return settings;
  }

  private ObjectNode platform(Node node) {
    ObjectNode settings =
        Json.newObject()
            .put("listen", node.listen().toString())
            .put("readsPerSecond", READS_PER_SECOND)
            .put("writesPerSecond", WRITES_PER_SECOND)
            .put("hostListLagMillis", HOST_LIST_LAG_MILLIS);
    ArrayNode hosts = settings.putArray("hosts");
    for (Node proxy : topology.nodes(ProcessKind.PROXY)) {
      hosts.addObject().put("name", proxy.group()).put("failureDomain", proxy.domain());
    }
    return settings;
  }

  private ObjectNode endpoint(Node node) {
    ObjectNode settings =
        Json.newObject()
            .put("member", node.name())
            .put("listen", node.listen().toString())
            .put("dataFile", folder.resolve(node.name() + ".data").toAbsolutePath().toString())
            .put("connectionLimit", spec.connectionLimit())
            .put("slots", spec.slots())
            .put("openMillis", spec.openMillis())
            .put("applyLagMillis", APPLY_LAG_MILLIS);
    putTranslation(settings, node);
    return settings;
  }

  private ObjectNode controller(Node node) {
    ObjectNode settings = hostSettings(node);
    settings.put(
        "platform",
        topology.translate(node.name(), topology.node(Topology.PLATFORM).listen()).toString());
    putPeers(settings, "peers", node, ProcessKind.CONTROLLER, false);
    return settings;
  }

  private ObjectNode proxy(Node node) {
    ObjectNode settings = hostSettings(node);
    putPeers(settings, "controllers", node, ProcessKind.CONTROLLER, true);
    putPeers(settings, "peers", node, ProcessKind.PROXY, false);
    settings.putArray("tokenKeys").addObject().put("id", "k1").put("secret", TOKEN_SECRET);
    settings.put("shutdownGraceMillis", SHUTDOWN_GRACE_MILLIS);
    return settings;
  }

  private ObjectNode hostSettings(Node node) {
    ObjectNode settings =
        Json.newObject()
            .put("host", node.group())
            .put("failureDomain", node.domain())
            .put("listen", node.listen().toString())
            .put("peerListen", node.peerListen().toString());
    putTranslation(settings, node);
    return settings;
  }

  private void putPeers(
      ObjectNode settings, String field, Node node, ProcessKind kind, boolean ownDomainOnly) {
    ArrayNode addresses = settings.putArray(field);
    for (Node peer : topology.nodes(kind)) {
      boolean included = !ownDomainOnly || peer.domain().equals(node.domain());
      if (included && !peer.equals(node)) {
        addresses.add(topology.translate(node.name(), peer.peerListen()).toString());
      }
    }
  }

  private void putTranslation(ObjectNode settings, Node node) {
    ArrayNode translation = settings.putArray("addressTranslation");
    for (LinkSettings link : topology.linksFrom(node.name())) {
      translation
          .addObject()
          .put("from", link.forward().toString())
          .put("to", link.listen().toString());
    }
  }
}
