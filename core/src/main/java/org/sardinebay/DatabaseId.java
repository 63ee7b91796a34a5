package org.sardinebay;

import java.util.Objects;

/**
 * The name of one database: a group of members with one log.
 *
 * @param value the name, never empty
 */
public record DatabaseId(String value) implements Comparable<DatabaseId> {
  /** Checks that the name is present. */
  public DatabaseId {
    Objects.requireNonNull(value, "value");
    if (value.isEmpty()) {
      throw new IllegalArgumentException("DatabaseId must not be empty");
    }
  }

  @Override
  public int compareTo(DatabaseId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
