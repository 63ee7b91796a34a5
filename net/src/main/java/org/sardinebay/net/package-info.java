/** The I/O that all processes share. The entry point is {@link org.sardinebay.net.Binary}. */
package org.sardinebay.net;
