/** RPC between the system's processes, with protobuf messages over Netty. */
package org.sardinebay.net.peer;
