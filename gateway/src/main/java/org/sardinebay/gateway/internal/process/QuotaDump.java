package org.sardinebay.gateway.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinebay.gateway.internal.version.Quotas;
import org.sardinebay.net.http.Json;

/** Writes the state of the quotas for operators. */
final class QuotaDump {
  private QuotaDump() {}

  static JsonNode write(Quotas quotas, long now) {
    ObjectNode dump = Json.newObject();
    ObjectNode buckets = dump.putObject("buckets");
    quotas
        .buckets(now)
        .forEach(
            (id, bucket) ->
                buckets
                    .putObject(id.value())
                    .put("tokens", bucket.tokens())
                    .put("tokensPerSecond", bucket.share().tokensPerSecond())
                    .put("capacity", bucket.share().capacity()));
    ObjectNode workspaces = dump.putObject("workspaces");
    quotas
        .states(now)
        .forEach(
            (id, state) ->
                workspaces
                    .putObject(id.value())
                    .put("held", state.held())
                    .put("waiting", state.waiting())
                    .put("granted", state.counts().granted())
                    .put("used", state.counts().used())
                    .put("expired", state.counts().expired())
                    .put("refused", state.counts().refused()));
    return dump;
  }
}
