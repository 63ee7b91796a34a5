package org.sardinebay.record;

import java.util.List;
import org.sardinebay.DatabaseId;

/**
 * Describes one database.
 *
 * @param id its name, equal to the record's
 * @param service the database service that it belongs to, such as {@code contracts-db}
 * @param members its members, at least one
 * @param connectionLimit how many connections one member takes
 * @param slots how many statements one member runs at a time
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
   * How many members make a majority.
   *
   * @return more than half of the members
   */
  public int majority() {
    return members.size() / 2 + 1;
  }
}
