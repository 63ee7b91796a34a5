/** The HTTP client for endpoints. */
package org.sardinebay.net.endpoint;
