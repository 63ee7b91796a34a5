package org.sardinebay.standins.driver;

import org.sardinebay.Address;

/**
 * One process of a deployment with its addresses.
 *
 * @param name the name that the relay uses for the process
 * @param kind the kind of process
 * @param group the host for proxies and controllers, the database for endpoints, else the name
 * @param domain the failure domain, empty for platform and relay
 * @param listen the HTTP address
 * @param peerListen the peer address; equal to {@code listen} if the process has none
 */
record Node(
    String name,
    ProcessKind kind,
    String group,
    String domain,
    Address listen,
    Address peerListen) {}
