package org.sardinebay.record;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Reads records of kind {@code staleness}. Schema version 1 states the age in seconds, version 2 in
 * milliseconds. Conversion to version 1 rounds down, which makes the rule stricter.
 *
 * <pre>{@code
 * RecordResult<StalenessRecord> result = new StalenessCodec().read("tablets", body);
 * }</pre>
 */
public final class StalenessCodec extends AbstractRecordCodec<StalenessRecord> {
  /** The kind of staleness records. */
  public static final String KIND = "staleness";

  private static final int VERSION_IN_SECONDS = 1;
  private static final int VERSION_IN_MILLIS = 2;
  private static final String SECONDS_FIELD = "maxAgeSeconds";
  private static final String MILLIS_FIELD = "maxAgeMillis";
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long MAX_AGE_SECONDS = 86_400;

  /** Creates the codec. */
  public StalenessCodec() {
    super(KIND, List.of(VERSION_IN_SECONDS, VERSION_IN_MILLIS));
  }

  @Override
  StalenessRecord read(String name, int schemaVersion, FieldReader reader) {
    return new StalenessRecord(
        name,
        reader.text("database"),
        reader.text("callerPrefix", ""),
        maxAgeMillis(schemaVersion, reader));
  }

  @Override
  void convert(StalenessRecord value, int schemaVersion, ObjectNode body) {
    if (schemaVersion == VERSION_IN_SECONDS) {
      body.remove(MILLIS_FIELD);
      body.put(SECONDS_FIELD, value.maxAgeMillis() / MILLIS_PER_SECOND);
    } else {
      body.remove(SECONDS_FIELD);
      body.put(MILLIS_FIELD, value.maxAgeMillis());
    }
  }

  private static long maxAgeMillis(int schemaVersion, FieldReader reader) {
    if (schemaVersion == VERSION_IN_SECONDS) {
      rejectOtherVersion(reader, MILLIS_FIELD, VERSION_IN_MILLIS);
      return reader.number(SECONDS_FIELD, 0, MAX_AGE_SECONDS) * MILLIS_PER_SECOND;
    }
    rejectOtherVersion(reader, SECONDS_FIELD, VERSION_IN_SECONDS);
    return reader.number(MILLIS_FIELD, 0, MAX_AGE_SECONDS * MILLIS_PER_SECOND);
  }

  private static void rejectOtherVersion(FieldReader reader, String field, int schemaVersion) {
    if (reader.has(field)) {
      reader.addProblem(field, "absent, as it belongs to schemaVersion " + schemaVersion);
    }
  }
}
