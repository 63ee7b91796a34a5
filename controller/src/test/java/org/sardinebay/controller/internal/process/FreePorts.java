package org.sardinebay.controller.internal.process;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.sardinebay.Address;

/**
 * Finds free loopback ports below the ephemeral port range, so that no outgoing connection takes a
 * port between its selection and its use.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 22_000;
  private static final AtomicInteger NEXT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

  private FreePorts() {}

  public static Address next() {
    for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
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
