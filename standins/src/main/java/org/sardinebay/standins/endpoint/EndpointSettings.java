package org.sardinebay.standins.endpoint;

import java.nio.file.Path;
import org.sardinebay.Address;
import org.sardinebay.net.AddressTranslation;

/**
 * The settings of the stand-in of an endpoint.
 *
 * @param listen where it serves
 * @param dataFile what outlasts a restart
 * @param member its limits and times
 * @param faults its disturbances at the start
 * @param translation how it reaches other members
 */
record EndpointSettings(
    Address listen,
    Path dataFile,
    MemberSettings member,
    MemberFaults faults,
    AddressTranslation translation) {}
