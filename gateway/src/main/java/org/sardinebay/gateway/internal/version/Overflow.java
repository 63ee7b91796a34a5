package org.sardinebay.gateway.internal.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.internal.request.OverflowPolicy;
import org.sardinebay.internal.request.PeerConcurrencyLimit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds other hosts for statements that would otherwise have to wait on this host.
 *
 * <pre>{@code
 * Optional<HomeClient> host = overflow.offer(service, needsPrimary);
 * ...
 * overflow.onOfferEnded(service, host, accepted);
 * }</pre>
 */
public final class Overflow {
  private static final Logger LOG = LoggerFactory.getLogger(Overflow.class);

  /**
   * Time after the last offer at which an overflow period ends, in milliseconds; only for the log.
   */
  private static final long PERIOD_END_MILLIS = 1_000;

  private final Homes homes;
  private final Clock clock;
  private final Map<Key, PeerConcurrencyLimit> concurrencyLimits = new HashMap<>();
  private final Map<String, OverflowPeriod> periods = new HashMap<>();

  private record Key(String service, HostId host) {}

  /** A period in which statements of one service are offered to other hosts, for the log. */
  private static final class OverflowPeriod {
    private int accepted;
    private int refused;
    private long lastAt;

    private void ended(boolean wasAccepted) {
      if (wasAccepted) {
        accepted++;
      } else {
        refused++;
      }
    }
  }

  /**
   * Creates an instance without offers.
   *
   * @param homes the hosts that hold connections to members
   * @param clock the clock
   */
  public Overflow(Homes homes, Clock clock) {
    this.homes = homes;
    this.clock = clock;
  }

  /**
   * Chooses a host to offer a statement to if the statement would have to wait here. Each offer
   * must be followed by a call of {@link #onOfferEnded}.
   *
   * @param service the statement's service
   * @param needsPrimary whether only the primary can run it
   * @return the nearest host that may have capacity, empty if the statement should wait here
   */
  public Optional<HomeClient> offer(ServiceRuntime service, boolean needsPrimary) {
    long now = clock.millis();
    long millisWithoutPrimary = service.view().millisWithoutPrimary(now);
    if (!OverflowPolicy.shouldOffer(service.waiting(), needsPrimary, millisWithoutPrimary)) {
      return Optional.empty();
    }
    Optional<HomeClient> host =
        homes.otherHomes(service).stream()
            .filter(client -> concurrencyLimit(service, client).permits(now))
            .findFirst();
    host.ifPresent(
        client -> {
          concurrencyLimit(service, client).offered();
          recordOffer(service, millisWithoutPrimary, now);
        });
    return host;
  }

  private PeerConcurrencyLimit concurrencyLimit(ServiceRuntime service, HomeClient client) {
    return concurrencyLimits.computeIfAbsent(
        new Key(service.view().service(), client.host().id()), key -> new PeerConcurrencyLimit());
  }

  private void recordOffer(ServiceRuntime service, long millisWithoutPrimary, long now) {
    OverflowPeriod period = periods.get(service.view().service());
    if (period == null) {
      period = new OverflowPeriod();
      periods.put(service.view().service(), period);
      LOG.atInfo()
          .setMessage("overflow_started")
          .addKeyValue("service", service.view().service())
          .addKeyValue("waiting", service.waiting())
          .addKeyValue("unusable_millis", millisWithoutPrimary)
          .log();
    }
    period.lastAt = now;
  }

  /**
   * Records the result of an offer.
   *
   * @param service the service
   * @param client the client of the host
   * @param accepted whether the host accepted the statement
   */
  public void onOfferEnded(ServiceRuntime service, HomeClient client, boolean accepted) {
    PeerConcurrencyLimit concurrencyLimit = concurrencyLimit(service, client);
    if (accepted) {
      concurrencyLimit.accepted();
    } else {
      concurrencyLimit.refused(clock.millis());
    }
    Optional.ofNullable(periods.get(service.view().service()))
        .ifPresent(period -> period.ended(accepted));
  }

  /**
   * Ends and logs overflow periods without a recent offer.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    periods
        .entrySet()
        .removeIf(
            entry -> {
              boolean over = now - entry.getValue().lastAt >= PERIOD_END_MILLIS;
              if (over) {
                logEnd(entry.getKey(), entry.getValue());
              }
              return over;
            });
  }

  private static void logEnd(String service, OverflowPeriod period) {
    LOG.atInfo()
        .setMessage("overflow_ended")
        .addKeyValue("service", service)
        .addKeyValue("taken", period.accepted)
        .addKeyValue("refused", period.refused)
        .log();
  }
}
