package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.Address;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;
import org.sardinebay.record.AckPolicyName;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/** Sample members, databases and plans for promotion tests. */
final class PromotionSamples {
  private PromotionSamples() {}

  static MemberId member(int number) {
    return new MemberId("m" + number);
  }

  static DatabaseRecord database(int memberCount) {
    List<MemberRecord> members = new ArrayList<>();
    for (int i = 0; i < memberCount; i++) {
      members.add(
          new MemberRecord(
              member(i), new Address("127.0.0.1", i + 1), new FailureDomain("hall-" + i)));
    }
    return new DatabaseRecord(
        new DatabaseId("contracts-1"), "contracts-db", members, 20, 3, AckPolicyName.MAJORITY);
  }

  static PromotionPlan plan(long replacedTerm, Set<MemberId> excluded) {
    return new PromotionPlan(
        database(3),
        PromotionCause.PRIMARY_SILENT,
        replacedTerm,
        replacedTerm,
        Optional.empty(),
        excluded,
        Map.of());
  }
}
