package org.sardinebay.net.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;

/** Encodes endpoint calls as JSON. */
final class CallEncoder {
  private static final String TERM = "term";
  private static final String OWNER = "owner";
  private static final Map<StatementKind, String> KINDS = kinds();

  private CallEncoder() {}

  static String path(EndpointCall call) {
    if (call instanceof EndpointCall.Execute) {
      return "/v1/execute";
    }
    if (call instanceof EndpointCall.Progress) {
      return "/v1/progress";
    }
    if (call instanceof EndpointCall.Open) {
      return "/v1/open";
    }
    if (call instanceof EndpointCall.Close) {
      return "/v1/close";
    }
    if (call instanceof EndpointCall.Fence) {
      return "/v1/fence";
    }
    return call instanceof EndpointCall.Promote ? "/v1/promote" : "/v1/follow";
  }

  static ObjectNode encode(EndpointCall call) {
    ObjectNode body = Json.newObject();
    if (call instanceof EndpointCall.Execute execute) {
      putExecute(body, execute);
    } else if (call instanceof EndpointCall.Progress progress) {
      body.put(TERM, progress.term())
          .put("afterIndex", progress.afterIndex())
          .put("waitMillis", progress.waitMillis());
    } else if (call instanceof EndpointCall.Open open) {
      body.put("client", open.client());
    } else if (call instanceof EndpointCall.Close close) {
      body.put("connection", close.connection());
    } else if (call instanceof EndpointCall.Fence fence) {
      body.put(TERM, fence.term()).put(OWNER, fence.owner());
    } else if (call instanceof EndpointCall.Promote promote) {
      body.put(TERM, promote.term()).put(OWNER, promote.owner());
    } else if (call instanceof EndpointCall.Follow follow) {
      body.put(TERM, follow.term())
          .put("primary", follow.primary().value())
          .put("address", follow.address().toString());
    }
    return body;
  }

  private static void putExecute(ObjectNode body, EndpointCall.Execute execute) {
    body.put("connection", execute.connection())
        .put("kind", KINDS.get(execute.kind()))
        .put("statement", execute.statement())
        .put(TERM, execute.term())
        .put("maxWaitMillis", execute.maxWaitMillis())
        .put("deadlineMillis", execute.deadlineMillis());
    body.putObject("least")
        .put(TERM, execute.minimumPosition().term())
        .put("index", execute.minimumPosition().index());
    execute
        .key()
        .ifPresent(key -> body.put("key", key.value()).put("fingerprint", key.fingerprint()));
  }

  private static Map<StatementKind, String> kinds() {
    Map<StatementKind, String> names = new EnumMap<>(StatementKind.class);
    for (StatementKind kind : StatementKind.values()) {
      names.put(kind, FieldReader.jsonName(kind));
    }
    return names;
  }
}
