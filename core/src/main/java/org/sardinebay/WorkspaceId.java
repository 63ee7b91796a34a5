package org.sardinebay;

import java.util.Objects;

/**
 * The name of a workspace: a group of callers that shares keys and a quota.
 *
 * @param value the name, never empty
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
  /** Rejects a null or empty name. */
  public WorkspaceId {
    Objects.requireNonNull(value, "value");
    if (value.isEmpty()) {
      throw new IllegalArgumentException("WorkspaceId must not be empty");
    }
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
