package org.sardinebay.standins.endpoint;

import java.nio.file.Path;
import org.sardinebay.Address;
import org.sardinebay.net.AddressTranslation;

/**
 * Settings of the endpoint stand-in.
 *
 * @param listen the address to listen on
 * @param dataFile the journal file, which survives a restart
 * @param member the limits and timings of the member
 * @param faults the faults that are active at the start
 * @param translation the address mapping for other members
 */
record EndpointSettings(
    Address listen,
    Path dataFile,
    MemberSettings member,
    MemberFaults faults,
    AddressTranslation translation) {}
