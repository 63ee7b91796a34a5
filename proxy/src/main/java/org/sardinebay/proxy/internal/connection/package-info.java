/** What lives as long as one connection to an endpoint. */
package org.sardinebay.proxy.internal.connection;
