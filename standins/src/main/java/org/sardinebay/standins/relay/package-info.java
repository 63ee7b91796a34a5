/**
 * A relay that simulates the network between processes: delays and partitions. The entry point is
 * {@link org.sardinebay.standins.relay.RelayMain}.
 */
package org.sardinebay.standins.relay;
