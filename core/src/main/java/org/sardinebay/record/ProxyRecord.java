package org.sardinebay.record;

import java.util.Optional;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * Describes one entry host: a proxy and the controller beside it.
 *
 * @param host its name, equal to the record's
 * @param failureDomain where it stands
 * @param callerAddress where its proxy takes requests of callers (HTTP)
 * @param peerAddress where its proxy takes requests of other proxies
 * @param controllerAddress where its controller takes requests of proxies and controllers
 */
public record ProxyRecord(
    HostId host,
    FailureDomain failureDomain,
    Address callerAddress,
    Address peerAddress,
    Optional<Address> controllerAddress) {}
