package org.sardinebay.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Validates the parts that records of all kinds have in common: the name and the schema version.
 */
abstract class AbstractRecordCodec<R> implements RecordCodec<R> {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
  private static final String ALLOWED_NAME =
      "1 to 100 letters, digits, dots, hyphens and underscores, a letter or digit first";

  private final String kind;
  private final List<Integer> schemaVersions;

  AbstractRecordCodec(String kind, List<Integer> schemaVersions) {
    this.kind = kind;
    this.schemaVersions = schemaVersions;
  }

  @Override
  public final String kind() {
    return kind;
  }

  @Override
  public final List<Integer> schemaVersions() {
    return schemaVersions;
  }

  @Override
  public final RecordResult<R> read(String name, ObjectNode body) {
    if (!NAME.matcher(name).matches()) {
      return new RecordResult.Invalid<>(
          List.of(new FieldProblem("name", '"' + name + '"', ALLOWED_NAME)));
    }
    FieldReader reader = FieldReader.of(body);
    Optional<Integer> schemaVersion = schemaVersion(body);
    if (schemaVersion.isEmpty()) {
      reader.addProblem(SCHEMA_VERSION, "one of " + schemaVersions);
      return new RecordResult.Invalid<>(reader.problems());
    }
    R value = read(name, schemaVersion.get(), reader);
    return reader.problems().isEmpty()
        ? new RecordResult.Valid<>(value)
        : new RecordResult.Invalid<>(reader.problems());
  }

  @Override
  public final RecordResult<ObjectNode> convert(String name, ObjectNode body, int schemaVersion) {
    if (!schemaVersions.contains(schemaVersion)) {
      return new RecordResult.Invalid<>(
          List.of(
              new FieldProblem(
                  SCHEMA_VERSION, Integer.toString(schemaVersion), "one of " + schemaVersions)));
    }
    RecordResult<R> result = read(name, body);
    if (result instanceof RecordResult.Valid<R> valid) {
      ObjectNode converted = body.deepCopy();
      if (body.path(SCHEMA_VERSION).intValue() != schemaVersion) {
        converted.put(SCHEMA_VERSION, schemaVersion);
        convert(valid.value(), schemaVersion, converted);
      }
      return new RecordResult.Valid<>(converted);
    }
    return new RecordResult.Invalid<>(((RecordResult.Invalid<R>) result).problems());
  }

  /**
   * Reads the fields of one schema version. Problems are collected in the reader.
   *
   * @param name the record's name
   * @param schemaVersion the schema version, one of the supported ones
   * @param reader the record's body
   * @return the record; ignored if the reader has collected a problem
   */
  abstract R read(String name, int schemaVersion, FieldReader reader);

  /**
   * Replaces the fields that differ between schema versions.
   *
   * @param value the record
   * @param schemaVersion the target version, one of the supported ones
   * @param body a copy of the record's body, modified in place
   */
  void convert(R value, int schemaVersion, ObjectNode body) {}

  /** Reports the elements of a list whose text in a field repeats that of an earlier element. */
  static void rejectDuplicates(List<FieldReader> elements, String field, String allowed) {
    List<String> seen = new ArrayList<>();
    for (FieldReader element : elements) {
      String text = element.tree().path(field).asText();
      if (!text.isEmpty() && seen.contains(text)) {
        element.addProblem(field, allowed);
      }
      seen.add(text);
    }
  }

  private Optional<Integer> schemaVersion(ObjectNode body) {
    JsonNode value = body.path(SCHEMA_VERSION);
    return value.canConvertToInt() && value.isIntegralNumber()
        ? Optional.of(value.intValue()).filter(schemaVersions::contains)
        : Optional.empty();
  }
}
