package org.sardinebay.standins.driver;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import org.sardinebay.Address;

/** Finds free loopback ports below the range that the system hands out to outgoing connections. */
final class PortAllocator {
  private static final int FIRST_PORT = 10_000;
  private static final int LAST_PORT = 32_000;
  private static final String LOOPBACK = "127.0.0.1";

  private int next = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);

  Address allocate() throws IOException {
    for (int tried = 0; tried <= LAST_PORT - FIRST_PORT; tried++) {
      int port = next;
      next = next == LAST_PORT ? FIRST_PORT : next + 1;
      Address address = new Address(LOOPBACK, port);
      if (isFree(address)) {
        return address;
      }
    }
    throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
  }

  private static boolean isFree(Address address) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(address.socketAddress());
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
