package org.sardinebay.controller.internal.process;

import java.util.List;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.version.ControllerInfo;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.record.FieldReader;

/**
 * The controller's settings.
 *
 * @param self the identity of the controller and the address for calls from other processes
 * @param listen the address of the admin routes
 * @param platform the address of the platform
 * @param peers the addresses of other controllers from which it gets configuration
 * @param translation the translation of addresses for connections from this host
 */
public record ControllerSettings(
    ControllerInfo self,
    Address listen,
    Address platform,
    List<Address> peers,
    AddressTranslation translation) {

  /**
   * Reads the settings.
   *
   * @param reader the root object of the settings file; collects the validation problems
   * @return the settings
   */
  public static ControllerSettings read(FieldReader reader) {
    return new ControllerSettings(
        new ControllerInfo(
            new HostId(reader.text("host")),
            new FailureDomain(reader.text("failureDomain")),
            reader.address("peerListen")),
        reader.address("listen"),
        reader.address("platform"),
        reader.addresses("peers"),
        AddressTranslation.read(reader));
  }
}
