package org.sardinebay.standins.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.sardinebay.Address;

/** Finds free ports on the loopback address. */
public final class FreePorts {
  private FreePorts() {}

  public static Address next() {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
      return new Address(loopback.getHostAddress(), socket.getLocalPort());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
