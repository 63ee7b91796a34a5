package org.sardinebay.record;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Reads the records of one kind, in each supported schema version.
 *
 * <pre>{@code
 * RecordResult<StalenessRecord> result = new StalenessCodec().read("tablets", body);
 * }</pre>
 *
 * <p>Unknown fields are allowed, and conversion preserves them.
 *
 * @param <R> the type of the records
 */
public interface RecordCodec<R> {
  /** The field that states the schema version of a body. */
  String SCHEMA_VERSION = "schemaVersion";

  /**
   * The kind of the records.
   *
   * @return the kind as the platform names it
   */
  String kind();

  /**
   * The schema versions that this codec reads and writes.
   *
   * @return the versions in ascending order
   */
  List<Integer> schemaVersions();

  /**
   * Reads a record.
   *
   * @param name the record's name
   * @param body the record's body
   * @return the record, or its problems
   */
  RecordResult<R> read(String name, ObjectNode body);

  /**
   * Converts a record's body to another schema version.
   *
   * @param name the record's name
   * @param body the record's body
   * @param schemaVersion the target version
   * @return a new body that includes the unknown fields of the old one, or the problems
   */
  RecordResult<ObjectNode> convert(String name, ObjectNode body, int schemaVersion);
}
