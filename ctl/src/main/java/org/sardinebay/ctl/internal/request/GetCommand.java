package org.sardinebay.ctl.internal.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Optional;
import java.util.OptionalInt;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.record.RecordCodec;
import org.sardinebay.record.RecordCodecs;
import org.sardinebay.record.RecordResult;

/**
 * Prints one record as JSON, optionally converted to a schema version.
 *
 * <pre>{@code
 * new GetCommand(platform, key, OptionalInt.of(1), System.out).run();
 * }</pre>
 */
public final class GetCommand implements Command {
  private final BlockingPlatformClient platform;
  private final ObjectKey key;
  private final OptionalInt schema;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param platform the client of the platform
   * @param key the key of the record
   * @param schema the schema version to convert to; if absent, the record is not converted
   * @param out the stream for results
   */
  public GetCommand(
      BlockingPlatformClient platform, ObjectKey key, OptionalInt schema, PrintStream out) {
    this.platform = platform;
    this.key = key;
    this.schema = schema;
    this.out = out;
  }

  @Override
  public Optional<Failure> run() {
    PlatformResult result = platform.read(key);
    if (result instanceof PlatformResult.Failed failed) {
      return Optional.of(new Failure.PlatformFailed(failed.failure()));
    }
    if (!(result instanceof PlatformResult.Found found)) {
      return Optional.of(new Failure.NotFound(key));
    }
    if (schema.isEmpty()) {
      print(found.object(), found.object().body());
      return Optional.empty();
    }
    return convert(found.object());
  }

  private Optional<Failure> convert(PlatformObject object) {
    Optional<RecordCodec<?>> codec = RecordCodecs.of(key.kind());
    if (codec.isEmpty()) {
      return Optional.of(new Failure.UnknownKind(key.kind()));
    }
    RecordResult<ObjectNode> converted =
        codec.get().convert(key.name(), object.body(), schema.getAsInt());
    if (converted instanceof RecordResult.Valid<ObjectNode> valid) {
      print(object, valid.value());
      return Optional.empty();
    }
    RecordResult.Invalid<ObjectNode> invalid = (RecordResult.Invalid<ObjectNode>) converted;
    return Optional.of(new Failure.InvalidFields(key.toString(), invalid.problems()));
  }

  private void print(PlatformObject object, ObjectNode spec) {
    ObjectNode tree = Json.newObject();
    tree.put("kind", key.kind());
    tree.put("name", key.name());
    tree.put("version", object.version());
    tree.set("spec", spec);
    out.println(Json.pretty(tree));
  }
}
