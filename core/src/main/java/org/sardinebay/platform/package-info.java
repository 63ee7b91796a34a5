/** The interface to the platform: versioned objects, watches and the host list. */
package org.sardinebay.platform;
