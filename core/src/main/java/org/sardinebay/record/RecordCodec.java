package org.sardinebay.record;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Reads the records of one kind, in each schema version that it knows.
 *
 * <pre>{@code
 * RecordResult<StalenessRecord> result = new StalenessCodec().read("tablets", body);
 * }</pre>
 *
 * <p>Fields that the codec does not know are allowed, and conversion keeps them.
 *
 * @param <R> the type of the records
 */
public interface RecordCodec<R> {
  /** The field that names a body's schema version. */
  String SCHEMA_VERSION = "schemaVersion";

  /**
   * The kind of the records.
   *
   * @return the kind's name on the platform
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
   * @return the record or its problems
   */
  RecordResult<R> read(String name, ObjectNode body);

  /**
   * Converts a record's body to another schema version.
   *
   * @param name the record's name
   * @param body the record's body
   * @param schemaVersion the version wanted
   * @return a new body with the unknown fields of the old one, or the problems
   */
  RecordResult<ObjectNode> convert(String name, ObjectNode body, int schemaVersion);
}
