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
 * The promotion record of a database, as stored on the platform.
 *
 * <pre>{@code
 * Optional<PromotionRecord> record = PromotionRecord.read(object.body());
 * }</pre>
 *
 * @param term the highest term claimed
 * @param driver the ID of the promotion attempt that claimed it
 * @param step the step that the driver has reached
 * @param primary the term's primary, once published
 * @param start the position of the first entry of the term, once published
 * @param cause the reason for the promotion
 */
public record PromotionRecord(
    long term,
    String driver,
    PromotionStep step,
    Optional<MemberId> primary,
    Optional<Position> start,
    PromotionCause cause) {
  /** The object kind of promotion records. */
  public static final String KIND = "promotions";

  private static final String START = "start";

  /**
   * Returns the key of a database's promotion record.
   *
   * @param database the database
   * @return the key
   */
  public static ObjectKey key(DatabaseId database) {
    return new ObjectKey(KIND, database.value());
  }

  /**
   * Decodes the body of an object.
   *
   * @param body the body
   * @return the record, or empty if the body is not a valid promotion record
   */
  public static Optional<PromotionRecord> read(ObjectNode body) {
    FieldReader reader = FieldReader.of(body);
    PromotionRecord record =
        new PromotionRecord(
            reader.number("term", 1, Long.MAX_VALUE),
            reader.text("driver"),
            reader.enumConstant("step", PromotionStep.FENCING),
            reader.has("primary")
                ? Optional.of(new MemberId(reader.text("primary")))
                : Optional.empty(),
            reader.has(START) ? Optional.of(position(reader.object(START))) : Optional.empty(),
            reader.enumConstant("cause", PromotionCause.NO_PRIMARY));
    return reader.problems().isEmpty() ? Optional.of(record) : Optional.empty();
  }

  /**
   * Encodes the record as the body of an object.
   *
   * @return the body
   */
  public ObjectNode body() {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("term", term);
    body.put("driver", driver);
    body.put("step", FieldReader.jsonName(step));
    primary.ifPresent(member -> body.put("primary", member.value()));
    start.ifPresent(
        position ->
            body.putObject(START).put("term", position.term()).put("index", position.index()));
    body.put("cause", FieldReader.jsonName(cause));
    return body;
  }

  private static Position position(FieldReader reader) {
    return new Position(
        reader.number("term", 0, Long.MAX_VALUE), reader.number("index", 0, Long.MAX_VALUE));
  }
}
