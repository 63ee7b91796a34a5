package org.sardinebay.gateway.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sardinebay.Clock;
import org.sardinebay.gateway.internal.version.Quotas;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.gateway.internal.version.Services;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.net.http.Json;

/** Writes the gateway's state for operators. */
final class GatewayDump {
  /** How long a dump may wait for the event loop, in milliseconds; a stopped loop never answers. */
  private static final long TIMEOUT_MILLIS = 2_000;

  private GatewayDump() {}

  /** Waits for a dump that is written on the event loop. */
  static JsonNode await(CompletableFuture<JsonNode> dump) {
    try {
      return dump.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Json.newObject().put("problem", "interrupted");
    } catch (ExecutionException | TimeoutException e) {
      return Json.newObject().put("problem", e.toString());
    }
  }

  static JsonNode write(
      Services services,
      Sessions sessions,
      StoreEra storeEra,
      int hosts,
      Quotas quotas,
      Clock clock) {
    long now = clock.millis();
    ObjectNode dump = Json.newObject();
    dump.put("configuration", services.table().version());
    dump.put("storeEra", storeEra.current());
    dump.put("hosts", hosts);
    dump.put("sessions", sessions.size());
    dump.put("transactions", sessions.openTransactions());
    dump.set("quotas", QuotaDump.write(quotas, now));
    ArrayNode list = dump.putArray("services");
    services.all().forEach(service -> writeService(list.addObject(), service, now));
    return dump;
  }

  private static void writeService(ObjectNode node, ServiceRuntime service, long now) {
    ServiceView view = service.view();
    node.put("name", view.service());
    node.put("home", service.home());
    node.put("term", view.term());
    node.put("primary", view.primary().map(m -> m.id().value()).orElse(""));
    node.put("leaseMillis", view.leaseMillis(now));
    node.put("waiting", service.waiting());
    ArrayNode members = node.putArray("members");
    view.members().forEach(member -> writeMember(members.addObject(), service, member, now));
  }

  private static void writeMember(
      ObjectNode node, ServiceRuntime service, MemberView member, long now) {
    node.put("id", member.id().value());
    node.put("address", member.entry().address().toString());
    node.put("draining", member.entry().draining());
    node.put("applied", member.applied().toString());
    node.put("status", member.status().map(Object::toString).orElse(""));
    member.statusRequestedAt().ifPresent(at -> node.put("statusAgeMillis", now - at));
    node.put("unreachableMillis", member.unreachableMillis(now));
    service.pool(member.id()).ifPresent(pool -> node.put("connections", pool.size()));
  }
}
