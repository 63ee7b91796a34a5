package org.sardinebay.net.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.net.peer.generated.RecordVersion;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/** Converts configuration records to and from protobuf messages. */
final class FeedCodec {
  private FeedCodec() {}

  static Map<ObjectKey, Long> versions(ConfigCall call) {
    Map<ObjectKey, Long> versions = new HashMap<>();
    for (RecordVersion version : call.getAppliedList()) {
      versions.put(new ObjectKey(version.getKind(), version.getName()), version.getVersion());
    }
    return versions;
  }

  static List<RecordVersion> toMessages(Map<ObjectKey, Long> versions) {
    return versions.entrySet().stream()
        .map(
            entry ->
                RecordVersion.newBuilder()
                    .setKind(entry.getKey().kind())
                    .setName(entry.getKey().name())
                    .setVersion(entry.getValue())
                    .build())
        .toList();
  }

  static ConfigRecord toMessage(PlatformObject object) {
    return ConfigRecord.newBuilder()
        .setKind(object.key().kind())
        .setName(object.key().name())
        .setVersion(object.version())
        .setDeleted(object.deleted())
        .setBody(ByteString.copyFrom(Json.bytes(object.body())))
        .build();
  }

  /** Returns empty if the body is not a JSON object. */
  static Optional<PlatformObject> toObject(ConfigRecord message) {
    Optional<JsonNode> body = Json.parse(message.getBody().toByteArray());
    if (body.isEmpty() || !(body.get() instanceof ObjectNode object)) {
      return Optional.empty();
    }
    ObjectKey key = new ObjectKey(message.getKind(), message.getName());
    return Optional.of(new PlatformObject(key, message.getVersion(), message.getDeleted(), object));
  }
}
