package org.sardinebay;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * A network address: an IP address and a TCP port.
 *
 * <pre>{@code
 * Address address = Address.parse("127.0.0.1:7001").orElseThrow();
 * }</pre>
 *
 * @param host an IP address
 * @param port a TCP port, 1 to 65535
 */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Rejects a null host and, with an IllegalArgumentException, a port out of range. */
  public Address {
    Objects.requireNonNull(host, "host");
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port " + port + " is not within 1 to " + MAX_PORT);
    }
  }

  /**
   * Parses {@code host:port}. Only the port is checked.
   *
   * @param text the text to parse
   * @return the address, or empty if the text has no host or no valid port
   */
  public static Optional<Address> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Converts this address to a socket address.
   *
   * @return a resolved socket address
   */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
