package org.sardinebay;

import java.util.Objects;

/**
 * The name of one entry host.
 *
 * @param value the name, never empty
 */
public record HostId(String value) implements Comparable<HostId> {
  /** Checks that the name is present. */
  public HostId {
    Objects.requireNonNull(value, "value");
    if (value.isEmpty()) {
      throw new IllegalArgumentException("HostId must not be empty");
    }
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
