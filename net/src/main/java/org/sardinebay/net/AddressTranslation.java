package org.sardinebay.net;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.Address;
import org.sardinebay.record.FieldReader;

/**
 * Replaces addresses that this host reaches through another one, such as a gateway between regions.
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
   * Reads the setting {@code addressTranslation}: a list of objects with {@code from} and {@code
   * to}; absent if nothing is translated.
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
   * A translation that changes nothing.
   *
   * @return the identity
   */
  public static AddressTranslation none() {
    return new AddressTranslation(Map.of());
  }

  /**
   * Where to connect for an address.
   *
   * @param address the address as records and settings state it
   * @return the address to use from this host
   */
  public Address translate(Address address) {
    return reachable.getOrDefault(address, address);
  }
}
