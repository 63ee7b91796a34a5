package org.sardinebay.proxy.internal.version;

import org.sardinebay.Address;
import org.sardinebay.HostId;

/**
 * A home of a database: a proxy that may run requests for the database.
 *
 * @param host the host of the proxy
 * @param peerAddress the address that accepts forwarded requests
 * @param self whether the home is this proxy
 */
public record Home(HostId host, Address peerAddress, boolean self) {}
