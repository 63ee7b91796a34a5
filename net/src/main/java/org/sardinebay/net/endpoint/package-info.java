/** The HTTP client of endpoints. */
package org.sardinebay.net.endpoint;
