/** Netty with protobuf between the system's own processes. */
package org.sardinebay.net.peer;
