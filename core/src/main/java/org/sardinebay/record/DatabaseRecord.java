package org.sardinebay.record;

import java.util.List;
import org.sardinebay.DatabaseId;

/**
 * Describes one database.
 *
 * @param id the database's name, which is also the record's name
 * @param service the database service that the database belongs to, such as {@code contracts-db}
 * @param members the database's members, at least one
 * @param connectionLimit the number of connections that each member accepts
 * @param slots the number of statements that each member runs concurrently
 * @param acknowledgement when a write is acknowledged
 */
public record DatabaseRecord(
    DatabaseId id,
    String service,
    List<MemberRecord> members,
    int connectionLimit,
    int slots,
    AckPolicyName acknowledgement) {

  /**
   * The number of members that form a majority.
   *
   * @return more than half of the members
   */
  public int majority() {
    return members.size() / 2 + 1;
  }
}
