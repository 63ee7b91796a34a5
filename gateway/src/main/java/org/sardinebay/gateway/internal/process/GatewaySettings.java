package org.sardinebay.gateway.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.impeller.LineWord;
import org.sardinebay.internal.process.DomainDistances;
import org.sardinebay.internal.version.QuotaRule;
import org.sardinebay.record.FieldReader;
import org.sardinebay.session.RegisteredHost;

/**
 * The gateway's settings.
 *
 * @param host this host's name
 * @param failureDomain this host's failure domain
 * @param distances round-trip times between failure domains, derived from their regions
 * @param callers the address that callers connect to
 * @param readiness the address of the readiness check for the balancer
 * @param peers the address that other gateways call
 * @param seeds addresses of some other gateways, used to find the rest
 * @param metrics the address that serves metrics and dumps
 * @param store the address of the platform's metadata store
 * @param promotions the address at which the platform accepts promotion orders
 * @param shutdownMillis maximum duration of a shutdown
 * @param balancerNoticesMillis how long the balancer may still send callers after the start of a
 *     shutdown
 * @param quotaRule how far the operations of a workspace may exceed its limit
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
    long balancerNoticesMillis,
    QuotaRule quotaRule) {
  private static final long MAX_SHUTDOWN_SECONDS = 3_600;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MAX_PORT = 65_535;
  private static final long MAX_BALANCER_NOTICES_MILLIS = 600_000;
  private static final double MIN_QUOTA_WINDOW_SECONDS = 0.1;
  private static final double MAX_QUOTA_WINDOW_SECONDS = 3_600;
  private static final double MAX_QUOTA_OVERRUN = 10;
  private static final double MAX_QUOTA_SLACK = 1_000_000;

  /** Enough for a balancer that checks readiness every second and needs two failed checks. */
  private static final long DEFAULT_BALANCER_NOTICES_MILLIS = 2_500;

  static GatewaySettings read(FieldReader reader) {
    String ip = reader.text("ip");
    int metricsPort = (int) reader.number("metricsPort", 1, MAX_PORT);
    return new GatewaySettings(
        host(reader),
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
        reader.number(
            "balancerNoticesMillis",
            0,
            MAX_BALANCER_NOTICES_MILLIS,
            DEFAULT_BALANCER_NOTICES_MILLIS),
        quotaRule(reader));
  }

  /** Members receive the name as one word of a line. */
  private static HostId host(FieldReader reader) {
    String name = reader.text("host");
    if (!LineWord.isValid(name)) {
      reader.addProblem("host", "one word of printable ASCII characters");
    }
    return new HostId(name);
  }

  private static QuotaRule quotaRule(FieldReader reader) {
    QuotaRule fallback = QuotaRule.DEFAULT;
    double windowSeconds =
        reader.decimal(
            "quotaWindowSeconds",
            MIN_QUOTA_WINDOW_SECONDS,
            MAX_QUOTA_WINDOW_SECONDS,
            (double) fallback.windowMillis() / MILLIS_PER_SECOND);
    return new QuotaRule(
        Math.round(windowSeconds * MILLIS_PER_SECOND),
        reader.decimal("quotaOverrun", 0, MAX_QUOTA_OVERRUN, fallback.overrun()),
        reader.decimal("quotaSlack", 0, MAX_QUOTA_SLACK, fallback.slack()));
  }

  private static DomainDistances distances(FieldReader reader) {
    Map<FailureDomain, String> regions = new HashMap<>();
    if (reader.has("regions")) {
      FieldReader entries = reader.object("regions");
      entries
          .tree()
          .fields()
          .forEachRemaining(
              field -> {
                if (field.getKey().isEmpty()) {
                  entries.addProblem(field.getKey(), "the name of a failure domain");
                } else {
                  regions.put(new FailureDomain(field.getKey()), field.getValue().asText(""));
                }
              });
    }
    return new DomainDistances(regions);
  }

  /** Returns the entry under which other hosts know this one. */
  RegisteredHost registeredHost() {
    return new RegisteredHost(host, failureDomain, peers);
  }

  /** Returns these settings, with the values from newer ones that take effect without a restart. */
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
        newer.balancerNoticesMillis,
        quotaRule);
  }

  static List<String> help() {
    return List.of(
        "host             this host's name",
        "failureDomain    this host's failure domain",
        "regions          an object with the region of each failure domain; optional",
        "ip               this host's IP address, for metrics",
        "metricsPort      port of /metrics and /dump on that address",
        "callers          IP:PORT that callers connect to",
        "readiness        IP:PORT of the readiness check for the balancer",
        "peers            IP:PORT that other gateways call",
        "seeds            a list of IP:PORT of some other gateways *",
        "store            IP:PORT of the platform's metadata store",
        "promotions       IP:PORT where the platform accepts promotion orders",
        "shutdownSeconds  maximum duration of a shutdown, in seconds *",
        "balancerNoticesMillis  how long the balancer may still send callers then; default 2500 *",
        "quotaWindowSeconds     the window in which operations are counted; default 5",
        "quotaOverrun           fraction by which a window's limit may be exceeded; default 0.1",
        "quotaSlack             operations by which it may be exceeded in addition; default 20",
        "* reloaded on SIGHUP; the others need a restart");
  }
}
