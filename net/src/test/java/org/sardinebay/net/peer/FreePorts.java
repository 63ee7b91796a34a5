package org.sardinebay.net.peer;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.sardinebay.Address;

/**
 * Finds free loopback ports below the operating system's ephemeral port range, so that no outgoing
 * connection takes a port between its selection and its use.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 10_000;
  private static final int PORTS = 22_000;
  private static final AtomicInteger NEXT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(PORTS));

  private FreePorts() {}

  public static Address next() {
    for (int tried = 0; tried < PORTS; tried++) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORTS);
      Address address = new Address("127.0.0.1", port);
      if (free(address)) {
        return address;
      }
    }
    throw new IllegalStateException("no free port");
  }

  private static boolean free(Address address) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(address.socketAddress());
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
