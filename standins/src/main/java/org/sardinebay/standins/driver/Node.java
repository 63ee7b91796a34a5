package org.sardinebay.standins.driver;

import org.sardinebay.Address;

/**
 * One process of a deployment with its own addresses.
 *
 * @param name its name, as the relay knows it
 * @param kind what it is
 * @param group the host for proxies and controllers, the database for endpoints, else the name
 * @param domain its failure domain, empty for platform and relay
 * @param listen its HTTP address
 * @param peerListen its peer address; equal to {@code listen} where there is none
 */
record Node(
    String name,
    ProcessKind kind,
    String group,
    String domain,
    Address listen,
    Address peerListen) {}
