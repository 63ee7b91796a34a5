package org.sardinebay;

import java.util.Objects;

/**
 * The name of a failure domain: a zone whose hosts can fail together.
 *
 * @param value the name, never empty
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
  /** Rejects a null or empty name. */
  public FailureDomain {
    Objects.requireNonNull(value, "value");
    if (value.isEmpty()) {
      throw new IllegalArgumentException("FailureDomain must not be empty");
    }
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
