package org.sardinebay.proxy.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.DatabaseView;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.net.http.Json;
import org.sardinebay.proxy.internal.connection.MemberConnectionPool;
import org.sardinebay.proxy.internal.connection.TransactionTable;
import org.sardinebay.proxy.internal.version.DatabaseContext;
import org.sardinebay.record.MemberRecord;

/**
 * Writes the state of a proxy as JSON for diagnosis by operators and developers.
 *
 * <pre>{@code
 * JsonNode tree = new ProxyDump(runtime, databaseRegistry, store, transactions, requests).write();
 * }</pre>
 */
final class ProxyDump {
  private final ProxyRuntime runtime;
  private final DatabaseRegistry databaseRegistry;
  private final ConfigStore store;
  private final TransactionTable transactions;
  private final RequestService requests;

  ProxyDump(
      ProxyRuntime runtime,
      DatabaseRegistry databaseRegistry,
      ConfigStore store,
      TransactionTable transactions,
      RequestService requests) {
    this.runtime = runtime;
    this.databaseRegistry = databaseRegistry;
    this.store = store;
    this.transactions = transactions;
    this.requests = requests;
  }

  JsonNode write() {
    ObjectNode dump = Json.newObject();
    dump.put("program", "sardinebay-proxy").put("version", ProgramRunner.VERSION);
    dump.put("host", runtime.identity().host().value());
    dump.put("failureDomain", runtime.identity().failureDomain().value());
    dump.put("requestsInProgress", requests.inProgress());
    dump.put("openTransactions", transactions.size());
    dump.put("unreadableRecords", store.snapshot().unreadable());
    ObjectNode generations = dump.putObject("generations");
    store.versions().forEach((key, version) -> generations.put(key.toString(), version));
    ArrayNode databases = dump.putArray("databases");
    databaseRegistry.contexts().forEach(context -> databases.add(database(context)));
    return dump;
  }

  private ObjectNode database(DatabaseContext context) {
    return context
        .decide(
            view -> {
              ObjectNode json = Json.newObject();
              json.put("database", context.database().id().value());
              json.put("term", view.term());
              json.put("confirmedIndex", view.confirmedIndex());
              view.primary().ifPresent(primary -> json.put("primary", primary.value()));
              long now = runtime.clock().millis();
              json.put("majorityAnswers", view.majorityAnswers(now));
              ArrayNode members = json.putArray("members");
              view.summary(now).forEach(member -> members.add(member(member)));
              ArrayNode pools = json.putArray("connections");
              for (MemberRecord member : context.database().members()) {
                pools.add(pool(context.pool(member.id()).summary()));
              }
              return json;
            })
        .decision();
  }

  private static ObjectNode member(DatabaseView.MemberSummary member) {
    return Json.newObject()
        .put("member", member.member().value())
        .put("term", member.term())
        .put("role", member.role().name())
        .put("receivedIndex", member.receivedIndex())
        .put("appliedIndex", member.appliedIndex())
        .put("lagMillis", member.lagMillis())
        .put("reachable", member.reachable())
        .put("leaving", member.leaving());
  }

  private static ObjectNode pool(MemberConnectionPool.Summary pool) {
    return Json.newObject()
        .put("member", pool.member().value())
        .put("share", pool.share())
        .put("idle", pool.idle())
        .put("opening", pool.opening())
        .put("leased", pool.leased())
        .put("closing", pool.closing())
        .put("waiting", pool.waiting())
        .put("refusedOpens", pool.refusedOpens());
  }
}
