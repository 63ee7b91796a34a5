/** The gateway process: settings, wiring, peers, sessions, metrics and shutdown. */
package org.sardinebay.gateway.internal.process;
