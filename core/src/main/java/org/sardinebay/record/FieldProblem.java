package org.sardinebay.record;

/**
 * An invalid field of a record or settings file.
 *
 * @param field the field's path, such as {@code members[1].address}
 * @param value the value found, {@code absent} if the field is missing
 * @param allowed which values are allowed
 */
public record FieldProblem(String field, String value, String allowed) {
  @Override
  public String toString() {
    return "field " + field + " has value " + value + "; allowed: " + allowed;
  }
}
