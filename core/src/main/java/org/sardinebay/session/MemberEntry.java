package org.sardinebay.session;

import java.util.OptionalLong;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;

/**
 * A member's entry in the registry.
 *
 * @param id its id
 * @param startedAtMillis when the member started, in Unix milliseconds, if the entry states it;
 *     distinguishes members that reuse an id
 * @param service the service that the member belongs to
 * @param address where it accepts connections
 * @param failureDomain the failure domain that the member runs in
 * @param slots the number of statements that the member runs concurrently
 * @param draining whether the member is about to shut down
 * @param role the member's role as it reports it
 * @param expired whether the entry disappeared from the registry recently
 */
public record MemberEntry(
    MemberId id,
    OptionalLong startedAtMillis,
    String service,
    Address address,
    FailureDomain failureDomain,
    int slots,
    boolean draining,
    MemberRole role,
    boolean expired) {
  /**
   * Whether another entry describes the same incarnation of this member.
   *
   * @param other the other entry
   * @return true if connections to the member remain valid
   */
  public boolean sameIncarnation(MemberEntry other) {
    return id.equals(other.id)
        && startedAtMillis.equals(other.startedAtMillis)
        && address.equals(other.address);
  }

  /**
   * A copy for a member whose entry disappeared from the registry.
   *
   * @return a copy that is marked as expired
   */
  public MemberEntry asExpired() {
    return new MemberEntry(
        id, startedAtMillis, service, address, failureDomain, slots, draining, role, true);
  }
}
