/**
 * A relay that stands in for the network between processes: it delays, cuts and drops. Start
 * reading at {@link org.sardinebay.standins.relay.RelayMain}.
 */
package org.sardinebay.standins.relay;
