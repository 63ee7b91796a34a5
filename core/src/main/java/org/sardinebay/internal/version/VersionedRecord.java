package org.sardinebay.internal.version;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinebay.platform.ObjectKey;

/**
 * An accepted record, or the tombstone of a deleted one, as distributed with the configuration.
 *
 * @param key its kind and name
 * @param version the version at which it was accepted
 * @param deleted whether this is a tombstone; its body is empty
 * @param body its content, unknown fields included; must not be changed
 */
public record VersionedRecord(ObjectKey key, long version, boolean deleted, ObjectNode body) {
  /** Checks the version. */
  public VersionedRecord {
    if (version < 1) {
      throw new IllegalArgumentException("version " + version + " of " + key + " is not positive");
    }
  }
}
