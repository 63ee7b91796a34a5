package org.sardinebay.record;

import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;

/**
 * Describes one member of a database.
 *
 * @param id the member's name
 * @param address the address where the member accepts calls
 * @param failureDomain the failure domain that the member runs in
 */
public record MemberRecord(MemberId id, Address address, FailureDomain failureDomain) {}
