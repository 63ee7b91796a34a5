package org.sardinebay;

import java.util.Objects;

/**
 * The name of a database: a group of members that replicate one log.
 *
 * @param value the name, never empty
 */
public record DatabaseId(String value) implements Comparable<DatabaseId> {
  /** Rejects a null or empty name. */
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
