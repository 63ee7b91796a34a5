/** What lives as long as the process. */
package org.sardinebay.gateway.internal.process;
