/** What lives as long as a connection: callers' sessions, connections to members. */
package org.sardinebay.gateway.internal.connection;
