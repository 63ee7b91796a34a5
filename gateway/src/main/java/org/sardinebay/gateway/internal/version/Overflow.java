package org.sardinebay.gateway.internal.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.gateway.internal.connection.HomeLink;
import org.sardinebay.internal.request.OverflowPolicy;
import org.sardinebay.internal.request.PeerRoom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds other hosts for statements that would have to wait here.
 *
 * <pre>{@code
 * Optional<HomeLink> host = overflow.offer(service, needsPrimary);
 * ...
 * overflow.ended(service, host, taken);
 * }</pre>
 */
public final class Overflow {
  private static final Logger LOG = LoggerFactory.getLogger(Overflow.class);

  /** How long after the last offer it is over, for the log, in milliseconds. */
  private static final long OVER_MILLIS = 1_000;

  private final Homes homes;
  private final Clock clock;
  private final Map<Key, PeerRoom> rooms = new HashMap<>();
  private final Map<String, Spell> spells = new HashMap<>();

  private record Key(String service, HostId host) {}

  /** A time in which statements of one service are offered, for the log. */
  private static final class Spell {
    private int taken;
    private int refused;
    private long lastAt;
  }

  /**
   * Nothing was offered yet.
   *
   * @param homes the hosts that hold connections
   * @param clock the clock
   */
  public Overflow(Homes homes, Clock clock) {
    this.homes = homes;
    this.clock = clock;
  }

  /**
   * Chooses a host to offer a statement to, if it would have to wait here. Each offer is to be
   * ended.
   *
   * @param service the statement's service
   * @param needsPrimary whether only the primary can run it
   * @return the nearest host that may have room, empty if the statement should wait here
   */
  public Optional<HomeLink> offer(ServiceRuntime service, boolean needsPrimary) {
    long now = clock.millis();
    long unusable = service.view().unusableMillis(now);
    if (!OverflowPolicy.offers(service.waiting(), needsPrimary, unusable)) {
      return Optional.empty();
    }
    Optional<HomeLink> host =
        homes.others(service).stream().filter(link -> room(service, link).permits(now)).findFirst();
    host.ifPresent(
        link -> {
          room(service, link).offered();
          note(service, unusable, now);
        });
    return host;
  }

  private PeerRoom room(ServiceRuntime service, HomeLink link) {
    return rooms.computeIfAbsent(
        new Key(service.view().service(), link.host().id()), key -> new PeerRoom());
  }

  private void note(ServiceRuntime service, long unusable, long now) {
    Spell spell = spells.get(service.view().service());
    if (spell == null) {
      spell = new Spell();
      spells.put(service.view().service(), spell);
      LOG.atInfo()
          .setMessage("overflow_started")
          .addKeyValue("service", service.view().service())
          .addKeyValue("waiting", service.waiting())
          .addKeyValue("unusable_millis", unusable)
          .log();
    }
    spell.lastAt = now;
  }

  /**
   * Notes what became of an offer.
   *
   * @param service the service
   * @param link the host
   * @param taken whether it took the statement
   */
  public void ended(ServiceRuntime service, HomeLink link, boolean taken) {
    PeerRoom room = room(service, link);
    Spell spell = spells.computeIfAbsent(service.view().service(), name -> new Spell());
    if (taken) {
      room.taken();
      spell.taken++;
    } else {
      room.refused(clock.millis());
      spell.refused++;
    }
  }

  /**
   * Notes the end of times in which statements were offered.
   *
   * @param now the time
   */
  public void tick(long now) {
    spells
        .entrySet()
        .removeIf(
            entry -> {
              boolean over = now - entry.getValue().lastAt >= OVER_MILLIS;
              if (over) {
                logEnd(entry.getKey(), entry.getValue());
              }
              return over;
            });
  }

  private static void logEnd(String service, Spell spell) {
    LOG.atInfo()
        .setMessage("overflow_ended")
        .addKeyValue("service", service)
        .addKeyValue("taken", spell.taken)
        .addKeyValue("refused", spell.refused)
        .log();
  }
}
