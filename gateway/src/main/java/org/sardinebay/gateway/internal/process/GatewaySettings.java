package org.sardinebay.gateway.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.DomainDistances;
import org.sardinebay.record.FieldReader;

/**
 * The gateway's settings.
 *
 * @param host this host's name
 * @param failureDomain where this host stands
 * @param distances which failure domains are in one region
 * @param callers where callers connect
 * @param readiness where the balancer asks whether this host is ready
 * @param peers where other gateways call this one
 * @param seeds where some other gateways may be found
 * @param metrics where metrics and dumps are served
 * @param store the platform's metadata store
 * @param promotions where the platform takes promotion orders
 * @param shutdownMillis how long a shutdown may take
 * @param balancerNoticesMillis how long after the start of a shutdown the balancer may still send
 *     callers
 */
public record GatewaySettings(
    HostId host,
    FailureDomain failureDomain,
    DomainDistances distances,
    Address callers,
    Address readiness,
    Address peers,
    List<Address> seeds,
    Address metrics,
    Address store,
    Address promotions,
    long shutdownMillis,
    long balancerNoticesMillis) {
  private static final long MAX_SHUTDOWN_SECONDS = 3_600;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MAX_PORT = 65_535;
  private static final long MAX_NOTICES_MILLIS = 600_000;

  /** A balancer that asks every second and needs two refusals. */
  private static final long DEFAULT_NOTICES_MILLIS = 2_500;

  static GatewaySettings read(FieldReader reader) {
    String ip = reader.text("ip");
    int metricsPort = (int) reader.number("metricsPort", 1, MAX_PORT);
    return new GatewaySettings(
        new HostId(reader.text("host")),
        new FailureDomain(reader.text("failureDomain")),
        distances(reader),
        reader.address("callers"),
        reader.address("readiness"),
        reader.address("peers"),
        reader.addresses("seeds"),
        new Address(ip, metricsPort),
        reader.address("store"),
        reader.address("promotions"),
        reader.number("shutdownSeconds", 1, MAX_SHUTDOWN_SECONDS) * MILLIS_PER_SECOND,
        reader.number("balancerNoticesMillis", 0, MAX_NOTICES_MILLIS, DEFAULT_NOTICES_MILLIS));
  }

  private static DomainDistances distances(FieldReader reader) {
    Map<FailureDomain, String> regions = new HashMap<>();
    if (reader.has("regions")) {
      reader
          .object("regions")
          .tree()
          .fields()
          .forEachRemaining(
              field -> regions.put(new FailureDomain(field.getKey()), field.getValue().asText("")));
    }
    return new DomainDistances(regions);
  }

  /** These settings with those of newer ones that take effect without a restart. */
  GatewaySettings reloaded(GatewaySettings newer) {
    return new GatewaySettings(
        host,
        failureDomain,
        distances,
        callers,
        readiness,
        peers,
        newer.seeds,
        metrics,
        store,
        promotions,
        newer.shutdownMillis,
        newer.balancerNoticesMillis);
  }

  static List<String> help() {
    return List.of(
        "host             this host's name",
        "failureDomain    where this host stands",
        "regions          the region of each failure domain, an object; may be left out",
        "ip               this host's IP number, for metrics",
        "metricsPort      port of /metrics and /dump on that number",
        "callers          IP:PORT where callers connect",
        "readiness        IP:PORT where the balancer asks whether this host is ready",
        "peers            IP:PORT where other gateways call this one",
        "seeds            a list of IP:PORT where some other gateways may be found *",
        "store            IP:PORT of the platform's metadata store",
        "promotions       IP:PORT where the platform takes promotion orders",
        "shutdownSeconds  how long a shutdown may take *",
        "balancerNoticesMillis  how long a balancer may send callers then, 2500 if left out *",
        "* read again on SIGHUP; the others need a restart");
  }
}
