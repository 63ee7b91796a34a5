/** Decisions whose state lives as long as one connection. */
package org.sardinebay.internal.connection;
