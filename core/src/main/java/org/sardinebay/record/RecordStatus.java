package org.sardinebay.record;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.sardinebay.platform.ObjectKey;

/**
 * The status of an operator's record: which generation was validated last, and which one is in
 * effect.
 *
 * <pre>{@code
 * Optional<RecordStatus> status = RecordStatus.read(object.body());
 * }</pre>
 *
 * @param generation the version of the record that was validated last
 * @param state the result of the validation
 * @param problems the problems found, empty if the generation was accepted
 * @param spec the body in effect, empty if none was ever accepted or the record is deleted
 * @param specGeneration the generation in effect, 0 if none was ever accepted
 * @param deleted whether the deletion of the record is in effect
 */
public record RecordStatus(
    long generation,
    AcceptanceState state,
    List<FieldProblem> problems,
    ObjectNode spec,
    long specGeneration,
    boolean deleted) {
  /** The kind of status objects. */
  public static final String KIND = "accepted";

  private static final String SPEC = "spec";
  private static final char SEPARATOR = '.';

  /** Copies the list. */
  public RecordStatus {
    problems = List.copyOf(problems);
  }

  /**
   * Returns the key of a record's status.
   *
   * @param record the record's key
   * @return the key of its status
   */
  public static ObjectKey key(ObjectKey record) {
    return new ObjectKey(KIND, record.kind() + SEPARATOR + record.name());
  }

  /**
   * Returns the key of the record that a status belongs to.
   *
   * @param status the key of the status
   * @return the record's key, or empty if the key does not name a status
   */
  public static Optional<ObjectKey> recordKey(ObjectKey status) {
    int separator = status.name().indexOf(SEPARATOR);
    if (separator <= 0) {
      return Optional.empty();
    }
    String name = status.name().substring(separator + 1);
    return Optional.of(new ObjectKey(status.name().substring(0, separator), name));
  }

  /**
   * Parses a status.
   *
   * @param body the object's body
   * @return the status, or empty if the body is not a valid status
   */
  public static Optional<RecordStatus> read(ObjectNode body) {
    FieldReader reader = FieldReader.of(body);
    RecordStatus record =
        new RecordStatus(
            reader.number("generation", 1, Long.MAX_VALUE),
            reader.enumConstant("state", AcceptanceState.ACCEPTED),
            reader.objects("problems", 0).stream().map(RecordStatus::problem).toList(),
            reader.object(SPEC).tree(),
            reader.number("specGeneration", 0, Long.MAX_VALUE),
            reader.flag("deleted", false));
    return reader.problems().isEmpty() ? Optional.of(record) : Optional.empty();
  }

  /**
   * Formats the status as JSON.
   *
   * @return the object's body
   */
  public ObjectNode body() {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("generation", generation);
    body.put("state", FieldReader.jsonName(state));
    ArrayNode list = body.putArray("problems");
    for (FieldProblem problem : problems) {
      list.addObject()
          .put("field", problem.field())
          .put("value", problem.value())
          .put("allowed", problem.allowed());
    }
    body.set(SPEC, spec);
    body.put("specGeneration", specGeneration);
    body.put("deleted", deleted);
    return body;
  }

  private static FieldProblem problem(FieldReader reader) {
    return new FieldProblem(
        reader.text("field", ""), reader.text("value", ""), reader.text("allowed", ""));
  }
}
