package org.sardinebay.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/**
 * Converts platform objects to and from JSON.
 *
 * <pre>{@code
 * Optional<PlatformObject> object = PlatformObjectCodec.read(tree);
 * }</pre>
 */
public final class PlatformObjectCodec {
  private PlatformObjectCodec() {}

  /**
   * Decodes one object.
   *
   * @param tree the JSON
   * @return the object, or empty if the JSON is not a valid object
   */
  public static Optional<PlatformObject> read(JsonNode tree) {
    boolean deleted = tree.path("deleted").asBoolean(false);
    JsonNode body = deleted ? Json.newObject() : tree.path("body");
    if (!tree.path("kind").isTextual()
        || !tree.path("name").isTextual()
        || !tree.path("version").canConvertToLong()
        || !(body instanceof ObjectNode content)
        || Json.hasMissing(body)) {
      return Optional.empty();
    }
    ObjectKey key = new ObjectKey(tree.path("kind").textValue(), tree.path("name").textValue());
    return Optional.of(new PlatformObject(key, tree.path("version").longValue(), deleted, content));
  }

  /**
   * Decodes a list of objects. Those with values beyond the limits of what is read are left out.
   *
   * @param list the JSON array
   * @return the objects, or empty if the JSON is not an array or an element is invalid
   */
  public static Optional<List<PlatformObject>> readAll(JsonNode list) {
    List<PlatformObject> objects = new ArrayList<>();
    for (JsonNode element : list) {
      Optional<PlatformObject> object = read(element);
      if (object.isPresent()) {
        objects.add(object.get());
      } else if (!Json.hasMissing(element)) {
        return Optional.empty();
      }
    }
    return list.isArray() ? Optional.of(List.copyOf(objects)) : Optional.empty();
  }

  /**
   * Encodes one object.
   *
   * @param object the object
   * @return the JSON
   */
  public static ObjectNode write(PlatformObject object) {
    ObjectNode tree = Json.newObject();
    tree.put("kind", object.key().kind());
    tree.put("name", object.key().name());
    tree.put("version", object.version());
    tree.put("deleted", object.deleted());
    tree.set("body", object.body());
    return tree;
  }
}
