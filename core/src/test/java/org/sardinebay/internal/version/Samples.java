package org.sardinebay.internal.version;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Address;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;
import org.sardinebay.internal.process.InvariantReporter;
import org.sardinebay.record.AckPolicyName;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/** Sample records and standings shared by the tests of several packages. */
public final class Samples {
  public static final MemberId A = new MemberId("a");
  public static final MemberId B = new MemberId("b");
  public static final MemberId C = new MemberId("c");

  public static final DatabaseRecord DATABASE =
      new DatabaseRecord(
          new DatabaseId("contracts-1"),
          "contracts-db",
          List.of(member(A, "waco-hall"), member(B, "lubbock-hall"), member(C, "victoria-hall")),
          20,
          3,
          AckPolicyName.MAJORITY);

  public static final InvariantReporter FAIL_ON_VIOLATION =
      (name, detail) -> {
        throw new AssertionError(name + ": " + detail);
      };

  private Samples() {}

  private static MemberRecord member(MemberId id, String domain) {
    return new MemberRecord(id, new Address("127.0.0.1", 7000), new FailureDomain(domain));
  }

  public static EndpointReply.Standing primary(MemberId member, long term, long start, long index) {
    return standing(member, term, MemberRole.PRIMARY, start, index, index);
  }

  public static EndpointReply.Standing replica(
      MemberId member, long term, long received, long applied) {
    return standing(member, term, MemberRole.REPLICA, 1, received, applied);
  }

  private static EndpointReply.Standing standing(
      MemberId member, long term, MemberRole role, long start, long received, long applied) {
    List<Position> history =
        start == 1
            ? List.of(new Position(term, 1))
            : List.of(new Position(term - 1, 1), new Position(term, start));
    return new EndpointReply.Standing(
        member,
        term,
        role,
        Optional.empty(),
        new Position(term, received),
        new Position(term, applied),
        true,
        history,
        false,
        0);
  }
}
