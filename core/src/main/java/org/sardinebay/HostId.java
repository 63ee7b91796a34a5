package org.sardinebay;

import java.util.Objects;

/**
 * The name of an entry host, which runs a proxy.
 *
 * @param value the name, never empty
 */
public record HostId(String value) implements Comparable<HostId> {
  /** Rejects a null or empty name. */
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
