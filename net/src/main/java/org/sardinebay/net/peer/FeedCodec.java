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
import org.sardinebay.platform.ObjectVersion;
import org.sardinebay.platform.PlatformObject;

/** Converts configuration records to and from protobuf messages. */
final class FeedCodec {
  private FeedCodec() {}

  static Map<ObjectKey, Long> versions(ConfigCall call) {
    Map<ObjectKey, Long> versions = new HashMap<>();
    for (RecordVersion version : call.getAppliedList()) {
      if (ObjectVersion.valid(version.getEra(), version.getVersion())) {
        versions.put(
            new ObjectKey(version.getKind(), version.getName()),
            ObjectVersion.of(version.getEra(), version.getVersion()));
      }
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
                    .setVersion(ObjectVersion.revision(entry.getValue()))
                    .setEra(ObjectVersion.era(entry.getValue()))
                    .build())
        .toList();
  }

  static ConfigRecord toMessage(PlatformObject object) {
    return ConfigRecord.newBuilder()
        .setKind(object.key().kind())
        .setName(object.key().name())
        .setVersion(ObjectVersion.revision(object.version()))
        .setEra(ObjectVersion.era(object.version()))
        .setDeleted(object.deleted())
        .setBody(ByteString.copyFrom(Json.bytes(object.body())))
        .build();
  }

  /** Returns empty if the body can't be read as a JSON object or the version is out of range. */
  static Optional<PlatformObject> toObject(ConfigRecord message) {
    Optional<JsonNode> body = RecordEncoder.body(message).flatMap(Json::parse);
    if (body.isEmpty()
        || !(body.get() instanceof ObjectNode object)
        || message.getVersion() == 0
        || !ObjectVersion.valid(message.getEra(), message.getVersion())) {
      return Optional.empty();
    }
    ObjectKey key = new ObjectKey(message.getKind(), message.getName());
    long version = ObjectVersion.of(message.getEra(), message.getVersion());
    return Optional.of(new PlatformObject(key, version, message.getDeleted(), object));
  }
}
