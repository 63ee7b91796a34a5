package org.sardinebay.net;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.Address;
import org.sardinebay.record.FieldReader;

/**
 * Maps addresses that this host can reach only through another address, such as that of a network
 * gateway between regions.
 *
 * <pre>{@code
 * Address reachable = translation.translate(member.address());
 * }</pre>
 */
public final class AddressTranslation {
  private final Map<Address, Address> reachable;

  private AddressTranslation(Map<Address, Address> reachable) {
    this.reachable = reachable;
  }

  /**
   * Reads the optional setting {@code addressTranslation}, a list of objects with {@code from} and
   * {@code to}.
   *
   * @param reader the settings
   * @return the translation
   */
  public static AddressTranslation read(FieldReader reader) {
    Map<Address, Address> reachable = new HashMap<>();
    for (FieldReader entry : reader.objects("addressTranslation", 0)) {
      reachable.put(entry.address("from"), entry.address("to"));
    }
    return new AddressTranslation(Map.copyOf(reachable));
  }

  /**
   * Returns a translation that changes no address.
   *
   * @return the identity translation
   */
  public static AddressTranslation none() {
    return new AddressTranslation(Map.of());
  }

  /**
   * Translates an address to the one to connect to.
   *
   * @param address the address as given in records and settings
   * @return the address to use from this host
   */
  public Address translate(Address address) {
    return reachable.getOrDefault(address, address);
  }
}
