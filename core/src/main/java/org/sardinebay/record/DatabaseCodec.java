package org.sardinebay.record;

import java.util.List;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;

/**
 * Reads records of kind {@code databases}.
 *
 * <pre>{@code
 * RecordResult<DatabaseRecord> result = new DatabaseCodec().read("contracts-1", body);
 * }</pre>
 */
public final class DatabaseCodec extends AbstractRecordCodec<DatabaseRecord> {
  /** The kind of database records. */
  public static final String KIND = "databases";

  private static final int MAX_CONNECTIONS = 10_000;

  /** Creates the codec. */
  public DatabaseCodec() {
    super(KIND, List.of(1));
  }

  @Override
  DatabaseRecord read(String name, int schemaVersion, FieldReader reader) {
    String service = reader.text("service");
    List<FieldReader> members = reader.objects("members", 1);
    List<MemberRecord> memberRecords = members.stream().map(DatabaseCodec::member).toList();
    rejectDuplicates(members, "id", "an id that no other member has");
    rejectDuplicates(members, "address", "an address that no other member has");
    int connectionLimit = (int) reader.number("connectionLimit", 1, MAX_CONNECTIONS);
    int slots = (int) reader.number("slots", 1, MAX_CONNECTIONS);
    if (reader.problems().isEmpty() && slots > connectionLimit) {
      reader.addProblem("slots", "a whole number from 1 to connectionLimit");
    }
    AckPolicyName acknowledgement = reader.enumConstant("acknowledgement", AckPolicyName.MAJORITY);
    return new DatabaseRecord(
        new DatabaseId(name), service, memberRecords, connectionLimit, slots, acknowledgement);
  }

  private static MemberRecord member(FieldReader reader) {
    return new MemberRecord(
        new MemberId(reader.text("id")),
        reader.address("address"),
        new FailureDomain(reader.text("failureDomain")));
  }
}
