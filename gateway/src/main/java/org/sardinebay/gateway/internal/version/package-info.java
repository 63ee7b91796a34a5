/** What follows the versions of the configuration, the members and the primaries. */
package org.sardinebay.gateway.internal.version;
