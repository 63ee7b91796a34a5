package org.sardinebay.record;

/**
 * One field that a record or settings file has wrong.
 *
 * @param field the field's path, such as {@code members[1].address}
 * @param value the value found, {@code absent} if there was none
 * @param allowed what would be accepted
 */
public record FieldProblem(String field, String value, String allowed) {
  @Override
  public String toString() {
    return "field " + field + " has value " + value + "; allowed: " + allowed;
  }
}
