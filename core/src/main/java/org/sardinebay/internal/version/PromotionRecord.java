package org.sardinebay.internal.version;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.sardinebay.DatabaseId;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.record.FieldReader;

/**
 * The state of a database's promotions on the platform.
 *
 * <pre>{@code
 * Optional<PromotionRecord> record = PromotionRecord.read(object.body());
 * }</pre>
 *
 * @param term the highest term claimed
 * @param driver who claimed it
 * @param step how far the driver has come
 * @param primary the term's primary, once published
 * @param start the position of the entry that opens the term, once published
 * @param cause why the promotion was started
 */
public record PromotionRecord(
    long term,
    String driver,
    PromotionStep step,
    Optional<MemberId> primary,
    Optional<Position> start,
    PromotionCause cause) {
  /** The kind of these objects. */
  public static final String KIND = "promotions";

  private static final String START = "start";

  /**
   * Names the object of a database.
   *
   * @param database which
   * @return its key
   */
  public static ObjectKey key(DatabaseId database) {
    return new ObjectKey(KIND, database.value());
  }

  /**
   * Reads an object's body.
   *
   * @param body the body
   * @return the record, or empty if the body is none
   */
  public static Optional<PromotionRecord> read(ObjectNode body) {
    FieldReader reader = FieldReader.of(body);
    PromotionRecord record =
        new PromotionRecord(
            reader.number("term", 1, Long.MAX_VALUE),
            reader.text("driver"),
            reader.constant("step", PromotionStep.FENCING),
            reader.has("primary")
                ? Optional.of(new MemberId(reader.text("primary")))
                : Optional.empty(),
            reader.has(START) ? Optional.of(position(reader.object(START))) : Optional.empty(),
            reader.constant("cause", PromotionCause.NO_PRIMARY));
    return reader.problems().isEmpty() ? Optional.of(record) : Optional.empty();
  }

  /**
   * Writes the record as an object's body.
   *
   * @return the body
   */
  public ObjectNode body() {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("term", term);
    body.put("driver", driver);
    body.put("step", FieldReader.spelling(step));
    primary.ifPresent(member -> body.put("primary", member.value()));
    start.ifPresent(
        position ->
            body.putObject(START).put("term", position.term()).put("index", position.index()));
    body.put("cause", FieldReader.spelling(cause));
    return body;
  }

  private static Position position(FieldReader reader) {
    return new Position(
        reader.number("term", 0, Long.MAX_VALUE), reader.number("index", 0, Long.MAX_VALUE));
  }
}
