/** The platform's object service over HTTP. */
package org.sardinebay.net.platform;
