package org.sardinebay.session;

import java.util.OptionalLong;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;

/**
 * A member as it registered itself.
 *
 * @param id its id
 * @param born the Unix millisecond of its start, if it says so: an id may be used again
 * @param service the service that it belongs to
 * @param address where it accepts connections
 * @param failureDomain where it stands
 * @param slots statements that it runs at once
 * @param draining whether it is about to leave
 * @param role its role as it sees itself
 * @param lapsed whether the entry has vanished from the registry a short while ago
 */
public record MemberEntry(
    MemberId id,
    OptionalLong born,
    String service,
    Address address,
    FailureDomain failureDomain,
    int slots,
    boolean draining,
    MemberRole role,
    boolean lapsed) {
  /**
   * Whether another entry is of the same start of the same member.
   *
   * @param other the other entry
   * @return true if connections to it remain valid
   */
  public boolean sameIncarnation(MemberEntry other) {
    return id.equals(other.id) && born.equals(other.born) && address.equals(other.address);
  }

  /**
   * The same member after its entry has vanished.
   *
   * @return a lapsed copy
   */
  public MemberEntry lapse() {
    return new MemberEntry(id, born, service, address, failureDomain, slots, draining, role, true);
  }
}
