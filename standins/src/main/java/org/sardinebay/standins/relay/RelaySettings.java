package org.sardinebay.standins.relay;

import java.util.List;
import org.sardinebay.Address;

/**
 * Settings of the relay.
 *
 * @param listen the address on which the relay accepts commands
 * @param links the links to open
 */
public record RelaySettings(Address listen, List<LinkSettings> links) {}
