/** The entry point of the {@code sardinebay-proxy} program. */
package org.sardinebay.proxy;
