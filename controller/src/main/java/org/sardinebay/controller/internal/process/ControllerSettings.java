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
 * @param self who it is and where it takes calls of other processes
 * @param listen where it serves its admin routes
 * @param platform where the platform is
 * @param peers other controllers, to ask for configuration
 * @param translation how addresses are reached from this host
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
   * @param reader the settings file's root object; takes the problems
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
