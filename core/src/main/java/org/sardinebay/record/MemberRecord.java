package org.sardinebay.record;

import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;

/**
 * Describes one member of a database.
 *
 * @param id its name
 * @param address where it takes calls
 * @param failureDomain where it stands
 */
public record MemberRecord(MemberId id, Address address, FailureDomain failureDomain) {}
