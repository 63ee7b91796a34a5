/** The HTTP client of the platform's object service. */
package org.sardinebay.net.platform;
