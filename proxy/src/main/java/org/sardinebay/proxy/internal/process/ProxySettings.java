package org.sardinebay.proxy.internal.process;

import java.util.ArrayList;
import java.util.List;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.TokenKey;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.record.FieldReader;

/**
 * The proxy's settings.
 *
 * @param identity the identity of the proxy
 * @param listen the address for callers' requests
 * @param peerListen the address for calls from other proxies and controllers
 * @param controllers the controllers from which the proxy gets its configuration
 * @param peers the proxies from which it gets its configuration when no controller answers
 * @param tokenKeys the keys that sign and verify session tokens; the first one signs
 * @param shutdownGraceMillis the time in milliseconds between reporting not ready and refusing new
 *     requests during a shutdown
 * @param translation the translation of addresses for connections from this host
 */
public record ProxySettings(
    ProxyIdentity identity,
    Address listen,
    Address peerListen,
    List<Address> controllers,
    List<Address> peers,
    List<TokenKey> tokenKeys,
    long shutdownGraceMillis,
    AddressTranslation translation) {

  private static final long MAX_GRACE_MILLIS = 60_000;
  private static final long DEFAULT_GRACE_MILLIS = 1_000;
  private static final int MIN_SECRET_LENGTH = 32;

  /**
   * Reads the settings.
   *
   * @param reader the root object of the settings file; collects the validation problems
   * @return the settings
   */
  public static ProxySettings read(FieldReader reader) {
    return new ProxySettings(
        new ProxyIdentity(
            new HostId(reader.text("host")), new FailureDomain(reader.text("failureDomain"))),
        reader.address("listen"),
        reader.address("peerListen"),
        reader.addresses("controllers"),
        reader.addresses("peers"),
        tokenKeys(reader),
        reader.number("shutdownGraceMillis", 0, MAX_GRACE_MILLIS, DEFAULT_GRACE_MILLIS),
        AddressTranslation.read(reader));
  }

  private static List<TokenKey> tokenKeys(FieldReader reader) {
    List<TokenKey> keys = new ArrayList<>();
    for (FieldReader entry : reader.objects("tokenKeys", 1)) {
      TokenKey key = new TokenKey(entry.text("id"), entry.text("secret"));
      if (key.secret().length() < MIN_SECRET_LENGTH) {
        entry.addProblem("secret", "a text of at least " + MIN_SECRET_LENGTH + " characters");
      }
      if (key.id().contains(".")) {
        entry.addProblem("id", "a text without dots");
      }
      keys.add(key);
    }
    return keys;
  }
}
