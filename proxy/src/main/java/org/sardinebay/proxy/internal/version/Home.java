package org.sardinebay.proxy.internal.version;

import org.sardinebay.Address;
import org.sardinebay.HostId;

/**
 * A proxy that may run requests for a database.
 *
 * @param host its entry host
 * @param peerAddress where it takes forwarded requests
 * @param self whether it is this proxy
 */
public record Home(HostId host, Address peerAddress, boolean self) {}
