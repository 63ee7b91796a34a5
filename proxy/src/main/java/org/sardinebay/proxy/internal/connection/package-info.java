/** Connections to endpoints, and objects that live as long as one of them. */
package org.sardinebay.proxy.internal.connection;
