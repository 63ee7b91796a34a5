package org.sardinebay;

import java.util.Objects;

/**
 * The name of a caller, as stated in its requests.
 *
 * @param value the name, never empty
 */
public record CallerId(String value) implements Comparable<CallerId> {
  /** Rejects a null or empty name. */
  public CallerId {
    Objects.requireNonNull(value, "value");
    if (value.isEmpty()) {
      throw new IllegalArgumentException("CallerId must not be empty");
    }
  }

  @Override
  public int compareTo(CallerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
