package org.sardinebay;

import java.util.Objects;

/**
 * The name of a member (endpoint) of a database.
 *
 * @param value the name, never empty
 */
public record MemberId(String value) implements Comparable<MemberId> {
  /** Rejects a null or empty name. */
  public MemberId {
    Objects.requireNonNull(value, "value");
    if (value.isEmpty()) {
      throw new IllegalArgumentException("MemberId must not be empty");
    }
  }

  @Override
  public int compareTo(MemberId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
