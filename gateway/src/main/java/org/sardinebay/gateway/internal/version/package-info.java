/** Tracks the versions of configuration, members and primaries, and replaces failed primaries. */
package org.sardinebay.gateway.internal.version;
