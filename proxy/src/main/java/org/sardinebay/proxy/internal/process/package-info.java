/** What lives as long as the process. */
package org.sardinebay.proxy.internal.process;
