package org.sardinebay.ctl.internal.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.record.DatabaseCodec;
import org.sardinebay.record.RecordCodecs;

/**
 * Prints whether a record is accepted, which version of it is active, and for a database its latest
 * promotion.
 *
 * <pre>{@code
 * new StatusCommand(platform, key, System.out).run();
 * }</pre>
 */
public final class StatusCommand implements Command {
  private static final String PENDING = "pending";
  private static final List<String> PROMOTION_FIELDS =
      List.of("term", "primary", "step", "cause", "driver");

  private final BlockingPlatformClient platform;
  private final ObjectKey key;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param platform the client of the platform
   * @param key the key of the record
   * @param out the stream for results
   */
  public StatusCommand(BlockingPlatformClient platform, ObjectKey key, PrintStream out) {
    this.platform = platform;
    this.key = key;
    this.out = out;
  }

  @Override
  public Optional<Failure> run() {
    if (RecordCodecs.of(key.kind()).isEmpty()) {
      return Optional.of(new Failure.UnknownKind(key.kind()));
    }
    PlatformResult record = platform.read(key);
    PlatformResult accepted =
        platform.read(new ObjectKey(Kinds.ACCEPTED, key.kind() + "." + key.name()));
    PlatformResult promotion =
        key.kind().equals(DatabaseCodec.KIND)
            ? platform.read(new ObjectKey(Kinds.PROMOTIONS, key.name()))
            : new PlatformResult.Absent();
    for (PlatformResult result : List.of(record, accepted, promotion)) {
      if (result instanceof PlatformResult.Failed failed) {
        return Optional.of(new Failure.PlatformFailed(failed.failure()));
      }
    }
    if (object(record).isEmpty() && object(accepted).isEmpty()) {
      return Optional.of(new Failure.NotFound(key));
    }
    printAcceptance(object(record), object(accepted).map(PlatformObject::body));
    object(promotion).map(PlatformObject::body).ifPresent(this::printPromotion);
    return Optional.empty();
  }

  private static Optional<PlatformObject> object(PlatformResult result) {
    return result instanceof PlatformResult.Found found
        ? Optional.of(found.object())
        : Optional.empty();
  }

  private void printAcceptance(
      Optional<PlatformObject> record, Optional<? extends JsonNode> acceptedBody) {
    KeyValueLine line = KeyValueLine.of("record").add("kind", key.kind()).add("name", key.name());
    line.add("version", record.map(object -> Long.toString(object.version())).orElse("deleted"));
    if (acceptedBody.isEmpty()) {
      out.println(line.add("state", PENDING));
      return;
    }
    JsonNode accepted = acceptedBody.get();
    boolean upToDate =
        record.map(object -> object.version() == accepted.path("generation").asLong()).orElse(true);
    line.add("state", upToDate ? accepted.path("state").asText() : PENDING);
    line.add("generation", accepted.path("generation").asText());
    line.add("specGeneration", accepted.path("specGeneration").asText("none"));
    out.println(line);
    accepted.path("problems").forEach(this::printProblem);
  }

  private void printProblem(JsonNode problem) {
    KeyValueLine line = KeyValueLine.of("problem");
    if (problem.isObject()) {
      problem
          .fields()
          .forEachRemaining(field -> line.add(field.getKey(), field.getValue().asText()));
    } else {
      line.add("message", problem.asText());
    }
    out.println(line);
  }

  private void printPromotion(JsonNode promotion) {
    KeyValueLine line = KeyValueLine.of("promotion");
    for (String field : PROMOTION_FIELDS) {
      if (promotion.hasNonNull(field)) {
        line.add(field, promotion.path(field).asText());
      }
    }
    JsonNode start = promotion.path("start");
    if (start.isObject()) {
      line.add("startTerm", start.path("term").asText());
      line.add("startIndex", start.path("index").asText());
    }
    out.println(line);
  }
}
