/** The edge towards the platform: versioned objects, watches and the list of hosts. */
package org.sardinebay.platform;
