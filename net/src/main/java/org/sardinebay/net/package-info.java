/** The I/O that all processes share. The entry point is {@link org.sardinebay.net.Program}. */
package org.sardinebay.net;
