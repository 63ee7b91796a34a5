/** Callers' sessions, and connections to members and other hosts. */
package org.sardinebay.gateway.internal.connection;
