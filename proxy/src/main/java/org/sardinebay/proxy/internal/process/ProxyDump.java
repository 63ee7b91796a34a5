package org.sardinebay.proxy.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.DatabaseView;
import org.sardinebay.net.BinaryMain;
import org.sardinebay.net.http.Json;
import org.sardinebay.proxy.internal.connection.MemberConnectionPool;
import org.sardinebay.proxy.internal.connection.TransactionTable;
import org.sardinebay.proxy.internal.version.DatabaseContext;
import org.sardinebay.record.MemberRecord;

/**
 * Writes a proxy's state for operators and developers.
 *
 * <pre>{@code
 * JsonNode tree = new ProxyDump(runtime, fleet, store, transactions, entry).write();
 * }</pre>
 */
final class ProxyDump {
  private final ProxyRuntime runtime;
  private final Fleet fleet;
  private final ConfigStore store;
  private final TransactionTable transactions;
  private final RequestService entry;

  ProxyDump(
      ProxyRuntime runtime,
      Fleet fleet,
      ConfigStore store,
      TransactionTable transactions,
      RequestService entry) {
    this.runtime = runtime;
    this.fleet = fleet;
    this.store = store;
    this.transactions = transactions;
    this.entry = entry;
  }

  JsonNode write() {
    ObjectNode dump = Json.newObject();
    dump.put("program", "sardinebay-proxy").put("version", BinaryMain.VERSION);
    dump.put("host", runtime.identity().host().value());
    dump.put("failureDomain", runtime.identity().failureDomain().value());
    dump.put("requestsInProgress", entry.inProgress());
    dump.put("openTransactions", transactions.size());
    dump.put("unreadableRecords", store.views().unreadable());
    ObjectNode generations = dump.putObject("generations");
    store.versions().forEach((key, version) -> generations.put(key.toString(), version));
    ArrayNode databases = dump.putArray("databases");
    fleet.contexts().forEach(shard -> databases.add(database(shard)));
    return dump;
  }

  private ObjectNode database(DatabaseContext shard) {
    return shard
        .decide(
            view -> {
              ObjectNode json = Json.newObject();
              json.put("database", shard.database().id().value());
              json.put("term", view.term());
              json.put("confirmedIndex", view.confirmedIndex());
              view.primary().ifPresent(primary -> json.put("primary", primary.value()));
              long now = runtime.clock().millis();
              json.put("majorityAnswers", view.majorityAnswers(now));
              ArrayNode members = json.putArray("members");
              view.summary(now).forEach(member -> members.add(member(member)));
              ArrayNode gateways = json.putArray("connections");
              for (MemberRecord member : shard.database().members()) {
                gateways.add(gateway(shard.pool(member.id()).summary()));
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

  private static ObjectNode gateway(MemberConnectionPool.Summary gateway) {
    return Json.newObject()
        .put("member", gateway.member().value())
        .put("share", gateway.share())
        .put("idle", gateway.idle())
        .put("opening", gateway.opening())
        .put("leased", gateway.leased())
        .put("closing", gateway.closing())
        .put("waiting", gateway.waiting())
        .put("refusedOpens", gateway.refusedOpens());
  }
}
