package org.sardinebay.standins.endpoint;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;

/** Encodes endpoint replies as JSON. */
final class ReplyEncoder {
  private static final String STATUS = "status";
  private static final String DONE = "done";
  private static final String TERM = "term";
  private static final String RECEIVED = "received";

  private ReplyEncoder() {}

  static ObjectNode encode(MemberId self, String correlation, EndpointReply reply) {
    ObjectNode body = Json.newObject();
    body.put("correlation", correlation).put("member", self.value());
    if (reply instanceof EndpointReply.Done done) {
      body.put(STATUS, DONE).put("replay", done.replay());
      ArrayNode rows = body.putArray("rows");
      done.rows().forEach(rows::add);
      body.set("position", position(done.position()));
    } else if (reply instanceof EndpointReply.Standing standing) {
      putStanding(body, standing);
    } else if (reply instanceof EndpointReply.Refused refused) {
      body.put(STATUS, "refused")
          .put("refusal", FieldReader.jsonName(refused.refusal()))
          .put(TERM, refused.term())
          .set("applied", position(refused.applied()));
    } else if (reply instanceof EndpointReply.Opened opened) {
      body.put(STATUS, DONE).put("connection", opened.connection());
    } else if (reply instanceof EndpointReply.Obeyed obeyed) {
      body.put(STATUS, DONE).put(TERM, obeyed.term());
      body.set(RECEIVED, position(obeyed.received()));
    } else {
      body.put(STATUS, DONE);
    }
    return body;
  }

  static void putStanding(ObjectNode body, EndpointReply.Standing standing) {
    body.put(STATUS, "standing")
        .put(TERM, standing.term())
        .put("role", FieldReader.jsonName(standing.role()))
        .put("synced", standing.synced())
        .put("leaving", standing.leaving())
        .put("connections", standing.connections());
    standing.primary().ifPresent(primary -> body.put("primary", primary.value()));
    body.set(RECEIVED, position(standing.received()));
    body.set("applied", position(standing.applied()));
    ArrayNode history = body.putArray("history");
    standing.history().forEach(start -> history.add(position(start)));
  }

  static ObjectNode position(Position position) {
    return Json.newObject().put(TERM, position.term()).put("index", position.index());
  }
}
