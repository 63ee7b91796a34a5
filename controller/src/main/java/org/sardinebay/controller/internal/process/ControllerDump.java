package org.sardinebay.controller.internal.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinebay.controller.internal.version.DatabaseSupervisor;
import org.sardinebay.controller.internal.version.SupervisorState;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.version.DatabaseWatch;
import org.sardinebay.internal.version.Promotion;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.ConfigFeedStore;

/**
 * Writes the state of a controller as JSON for diagnosis by operators and developers.
 *
 * <pre>{@code
 * JsonNode tree = new ControllerDump(runtime, store, platformWatcher, supervisors).write();
 * }</pre>
 */
final class ControllerDump {
  private final ControllerRuntime runtime;
  private final ConfigFeedStore store;
  private final PlatformWatcher platformWatcher;
  private final Supervisors supervisors;

  ControllerDump(
      ControllerRuntime runtime,
      ConfigFeedStore store,
      PlatformWatcher platformWatcher,
      Supervisors supervisors) {
    this.runtime = runtime;
    this.store = store;
    this.platformWatcher = platformWatcher;
    this.supervisors = supervisors;
  }

  ObjectNode write() {
    ObjectNode dump = Json.newObject();
    dump.put("program", "sardinebay-controller").put("version", ProgramRunner.VERSION);
    dump.put("host", runtime.self().host().value());
    dump.put("failureDomain", runtime.self().failureDomain().value());
    dump.put("process", runtime.process());
    ObjectNode generations = dump.putObject("generations");
    store.versions().forEach((key, version) -> generations.put(key.toString(), version));
    dump.set("platform", platformWatcher.dump());
    ArrayNode databases = dump.putArray("databases");
    for (DatabaseSupervisor supervisor : supervisors.all()) {
      databases.add(supervisor.read(this::database));
    }
    return dump;
  }

  private ObjectNode database(SupervisorState state) {
    ObjectNode json = Json.newObject();
    DatabaseWatch watch = state.watch();
    long now = runtime.clock().millis();
    json.put("database", state.assignment().database().id().value());
    json.put("rank", state.assignment().rank());
    watch
        .primary()
        .ifPresent(
            known ->
                json.put("term", known.term())
                    .put("primary", known.member().value())
                    .put("knownForMillis", now - known.knownSinceMillis()));
    json.put("primarySilentMillis", watch.silentMillis(now));
    json.put("confirmedIndex", watch.confirmed().index());
    json.put("decision", watch.cause().map(Enum::name).orElse("NONE"));
    json.put("promotion", promotion(state));
    state.lastPlan().ifPresent(plan -> json.put("lastCause", plan.cause().name()));
    state.lastOutcome().ifPresent(outcome -> json.put("lastOutcome", outcome.toString()));
    putReports(json, watch, now);
    ArrayNode members = json.putArray("members");
    watch.standings().forEach(standing -> members.add(member(standing)));
    return json;
  }

  private static String promotion(SupervisorState state) {
    return state
        .running()
        .map(
            stateMachine ->
                stateMachine instanceof Promotion promotion
                    ? promotion.phase().name()
                    : "PUBLICATION")
        .orElse("NONE");
  }

  private static void putReports(ObjectNode json, DatabaseWatch watch, long now) {
    ArrayNode evidence = json.putArray("evidence");
    watch
        .reports()
        .forEach(
            (domain, report) ->
                evidence
                    .addObject()
                    .put("failureDomain", domain.value())
                    .put("term", report.term())
                    .put("silentMillis", report.silentMillis())
                    .put("ageMillis", now - report.arrivedMillis()));
  }

  private static ObjectNode member(EndpointReply.Standing standing) {
    return Json.newObject()
        .put("member", standing.member().value())
        .put("term", standing.term())
        .put("role", standing.role().name())
        .put("receivedIndex", standing.received().index())
        .put("appliedIndex", standing.applied().index())
        .put("synced", standing.synced())
        .put("leaving", standing.leaving());
  }
}
