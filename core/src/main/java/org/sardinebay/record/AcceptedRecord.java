package org.sardinebay.record;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.sardinebay.platform.ObjectKey;

/**
 * The status of an operator's record: which generation was checked and what is in force.
 *
 * <pre>{@code
 * Optional<AcceptedRecord> accepted = AcceptedRecord.read(object.body());
 * }</pre>
 *
 * @param generation the version of the record that was checked last
 * @param state what came of it
 * @param problems what is wrong with it, none if it was accepted
 * @param spec the body in force, empty if none ever was or the record is deleted
 * @param specGeneration the generation of what is in force, 0 if nothing ever was
 * @param deleted whether what is in force is the record's deletion
 */
public record AcceptedRecord(
    long generation,
    AcceptanceState state,
    List<FieldProblem> problems,
    ObjectNode spec,
    long specGeneration,
    boolean deleted) {
  /** The kind of these objects. */
  public static final String KIND = "accepted";

  private static final String SPEC = "spec";
  private static final char SEPARATOR = '.';

  /** Copies the list. */
  public AcceptedRecord {
    problems = List.copyOf(problems);
  }

  /**
   * Names the status of a record.
   *
   * @param record the record's key
   * @return the key of its status
   */
  public static ObjectKey key(ObjectKey record) {
    return new ObjectKey(KIND, record.kind() + SEPARATOR + record.name());
  }

  /**
   * Names the record that a status belongs to.
   *
   * @param status the key of the status
   * @return the record's key, or empty if the name is none of a status
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
   * Reads a status.
   *
   * @param body the object's body
   * @return the status, or empty if the body is none
   */
  public static Optional<AcceptedRecord> read(ObjectNode body) {
    FieldReader reader = FieldReader.of(body);
    AcceptedRecord record =
        new AcceptedRecord(
            reader.number("generation", 1, Long.MAX_VALUE),
            reader.constant("state", AcceptanceState.ACCEPTED),
            reader.objects("problems", 0).stream().map(AcceptedRecord::problem).toList(),
            reader.object(SPEC).tree(),
            reader.number("specGeneration", 0, Long.MAX_VALUE),
            reader.flag("deleted", false));
    return reader.problems().isEmpty() ? Optional.of(record) : Optional.empty();
  }

  /**
   * Writes the status.
   *
   * @return the object's body
   */
  public ObjectNode body() {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("generation", generation);
    body.put("state", FieldReader.spelling(state));
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
