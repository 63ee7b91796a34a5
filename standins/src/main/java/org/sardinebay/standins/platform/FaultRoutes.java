package org.sardinebay.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.FailureDomain;
import org.sardinebay.net.http.HttpServerRequest;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.Route;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.record.FieldProblem;
import org.sardinebay.record.FieldReader;

/** HTTP routes with which tests change the faults and the host list, and read the counters. */
final class FaultRoutes {
  private static final int BAD_REQUEST = 400;

  private final PlatformService service;

  FaultRoutes(PlatformService service) {
    this.service = service;
  }

  List<Route> routes() {
    return List.of(
        Route.post("/admin/faults", this::changeFaults),
        Route.post("/admin/hosts", this::changeHost),
        Route.get(
            "/admin/counters", request -> ok(write(service.withState(PlatformState::counters)))));
  }

  static ObjectNode write(PlatformFaults faults) {
    return Json.newObject()
        .put("outage", faults.outage())
        .put("delayMillis", faults.delayMillis())
        .put("loseAnswers", faults.loseAnswers());
  }

  static ObjectNode write(PlatformCounters counters) {
    return Json.newObject()
        .put("reads", counters.reads())
        .put("writes", counters.writes())
        .put("watches", counters.watches())
        .put("refused", counters.refused());
  }

  private CompletableFuture<HttpServerResponse> changeFaults(HttpServerRequest request) {
    FieldReader reader = FieldReader.of(request.body().orElseGet(Json::newObject));
    PlatformFaults.read(reader, PlatformFaults.NONE);
    reader.rejectUnknownFields();
    if (!reader.problems().isEmpty()) {
      return badRequest(reader);
    }
    service.changeFaults(current -> PlatformFaults.read(reader, current));
    return ok(write(service.withState(PlatformState::faults)));
  }

  private CompletableFuture<HttpServerResponse> changeHost(HttpServerRequest request) {
    FieldReader reader = FieldReader.of(request.body().orElseGet(Json::newObject));
    String name = reader.text("name");
    FailureDomain failureDomain = new FailureDomain(reader.text("failureDomain"));
    HostState hostState = reader.enumConstant("state", HostState.LIVE);
    reader.rejectUnknownFields();
    if (!reader.problems().isEmpty()) {
      return badRequest(reader);
    }
    service.changeHost(
        new HostEntry(name, failureDomain, hostState == HostState.LEAVING),
        hostState == HostState.GONE);
    return ok(Json.newObject());
  }

  private static CompletableFuture<HttpServerResponse> badRequest(FieldReader reader) {
    ObjectNode body = Json.newObject();
    ArrayNode problems = body.putArray("problems");
    reader.problems().stream().map(FieldProblem::toString).forEach(problems::add);
    return CompletableFuture.completedFuture(HttpServerResponse.json(BAD_REQUEST, body));
  }

  private static CompletableFuture<HttpServerResponse> ok(JsonNode body) {
    return CompletableFuture.completedFuture(HttpServerResponse.json(HttpServerResponse.OK, body));
  }

  private enum HostState {
    LIVE,
    LEAVING,
    GONE
  }
}
