package org.sardinebay.record;

import java.util.Optional;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * Describes one entry host, which runs a proxy and, optionally, a controller.
 *
 * @param host the host's name, which is also the record's name
 * @param failureDomain the failure domain that the host runs in
 * @param callerAddress the address where the proxy accepts requests from callers (HTTP)
 * @param peerAddress the address where the proxy accepts requests from other proxies
 * @param controllerAddress the address where the controller accepts requests from proxies and other
 *     controllers, if the host runs one
 */
public record ProxyRecord(
    HostId host,
    FailureDomain failureDomain,
    Address callerAddress,
    Address peerAddress,
    Optional<Address> controllerAddress) {}
