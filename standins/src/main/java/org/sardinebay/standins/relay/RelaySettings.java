package org.sardinebay.standins.relay;

import java.util.List;
import org.sardinebay.Address;

/**
 * The relay's settings.
 *
 * @param listen where it takes commands
 * @param links the links that it carries
 */
public record RelaySettings(Address listen, List<LinkSettings> links) {}
