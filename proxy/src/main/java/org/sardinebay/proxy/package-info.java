/** The program {@code sardinebay-proxy}. */
package org.sardinebay.proxy;
