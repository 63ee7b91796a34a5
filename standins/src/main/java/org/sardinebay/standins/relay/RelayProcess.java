package org.sardinebay.standins.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.sardinebay.net.AdminRoutes;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.HttpServerRequest;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpServer;
import org.sardinebay.net.http.Route;
import org.sardinebay.record.FieldReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running relay: its links and the HTTP route that changes them. */
final class RelayProcess implements RunningProcess {
  private static final Logger LOG = LoggerFactory.getLogger(RelayProcess.class);
  private static final int LINK_THREADS = 2;
  private static final int BAD_REQUEST = 400;
  private static final String ANY = "*";

  private final EventLoopGroup loops;
  private final List<Link> links = new ArrayList<>();
  private JsonHttpServer server;

  private RelayProcess(EventLoopGroup loops) {
    this.loops = loops;
  }

  static RelayProcess start(RelaySettings settings) throws IOException {
    RelayProcess process =
        new RelayProcess(new MultiThreadIoEventLoopGroup(LINK_THREADS, NioIoHandler.newFactory()));
    try {
      process.open(settings);
    } catch (IOException e) {
      process.shutdown();
      throw e;
    }
    return process;
  }

  private void open(RelaySettings settings) throws IOException {
    for (LinkSettings link : settings.links()) {
      links.add(Link.open(link, loops.next()));
    }
    List<Route> routes = new ArrayList<>();
    routes.add(Route.post("/links", this::change));
    routes.add(Route.post("/silence", this::silence));
    routes.addAll(AdminRoutes.of(this, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT)));
    server = JsonHttpServer.start(settings.listen(), 1, routes);
  }

  private CompletableFuture<HttpServerResponse> change(HttpServerRequest request) {
    if (request.body().isEmpty()) {
      return badRequest("the body must be JSON");
    }
    FieldReader reader = FieldReader.of(request.body().get());
    Cut cut = reader.enumConstant("cut", Cut.NONE);
    OptionalLong delayMillis =
        reader.has("delayMillis")
            ? OptionalLong.of(reader.number("delayMillis", 0, LinkSettings.MAX_DELAY_MILLIS))
            : OptionalLong.empty();
    return forEachLink(reader, "cut_" + cut, link -> link.change(cut, delayMillis));
  }

  private CompletableFuture<HttpServerResponse> silence(HttpServerRequest request) {
    if (request.body().isEmpty()) {
      return badRequest("the body must be JSON");
    }
    FieldReader reader = FieldReader.of(request.body().get());
    return forEachLink(reader, "silence", Link::silenceOpenConnections);
  }

  private CompletableFuture<HttpServerResponse> forEachLink(
      FieldReader reader, String change, Function<Link, CompletableFuture<Void>> action) {
    List<String> sources = names(reader, "sources");
    List<String> targets = names(reader, "targets");
    if (!reader.problems().isEmpty()) {
      return badRequest(reader.problems().get(0).toString());
    }
    List<CompletableFuture<Void>> changes =
        links.stream()
            .filter(link -> matches(sources, link.source()) && matches(targets, link.target()))
            .map(action)
            .toList();
    LOG.atInfo()
        .setMessage("links_changed")
        .addKeyValue("sources", sources)
        .addKeyValue("targets", targets)
        .addKeyValue("change", change)
        .addKeyValue("links", changes.size())
        .log();
    JsonNode answer = Json.newObject().put("changed", changes.size());
    return CompletableFuture.allOf(changes.toArray(CompletableFuture[]::new))
        .thenApply(unused -> HttpServerResponse.json(HttpServerResponse.OK, answer));
  }

  private static CompletableFuture<HttpServerResponse> badRequest(String problem) {
    return CompletableFuture.completedFuture(HttpServerResponse.plain(BAD_REQUEST, problem + "\n"));
  }

  private static List<String> names(FieldReader reader, String field) {
    List<String> names = new ArrayList<>();
    reader.tree().path(field).forEach(name -> names.add(name.asText()));
    if (names.isEmpty()) {
      reader.addProblem(field, "a list of names, or [\"*\"]");
    }
    return names;
  }

  private static boolean matches(List<String> names, String name) {
    return names.contains(ANY) || names.contains(name);
  }

  @Override
  public JsonNode dump() {
    ObjectNode tree = Json.newObject();
    ArrayNode list = tree.putArray("links");
    links.forEach(link -> list.add(link.dump()));
    return tree;
  }

  @Override
  public boolean ready() {
    return true;
  }

  @Override
  public void shutdown() {
    if (server != null) {
      server.stop();
    }
    var unused = loops.shutdownGracefully();
  }
}
