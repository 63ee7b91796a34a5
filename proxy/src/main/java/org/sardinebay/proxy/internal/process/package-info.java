/** The proxy process: objects that live as long as the process. */
package org.sardinebay.proxy.internal.process;
