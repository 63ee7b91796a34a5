package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.sardinebay.HostId;
import org.sardinebay.session.RegisteredHost;

/**
 * The hosts that the keepers of quotas are chosen from. Covers the start of a fleet, when each host
 * has seen only some of the others, and a store that was restored from an older copy, which lists
 * fewer hosts until the others have registered again: without this, hosts would grant the limit of
 * a workspace several times.
 *
 * <pre>{@code
 * if (hosts.update(registered, now)) { view = QuotaView.of(rule, hosts.all(), ...); }
 * }</pre>
 */
public final class QuotaHosts {
  /**
   * How long a host that is not registered any more remains, in milliseconds. Hosts register again
   * within 2 s after the store was restored; one minute also covers a store that is away meanwhile.
   */
  private static final long REMEMBERED_MILLIS = 60_000;

  /**
   * How long after this host has found its own entry the others are taken to be known, in
   * milliseconds. Hosts that start together list each other 1 and 2 s after their start.
   */
  private static final long LISTING_MILLIS = 3_000;

  private final HostId self;
  private final Map<HostId, Known> known = new LinkedHashMap<>();
  private Collection<RegisteredHost> lastRegistered = List.of();
  private List<RegisteredHost> all = List.of();
  private OptionalLong selfSeenAt = OptionalLong.empty();
  private boolean complete;

  private record Known(RegisteredHost host, long registeredAt) {}

  /**
   * Creates an instance that knows no hosts, not even this one: if each host of a fleet that starts
   * were a keeper for itself, a workspace with a low rate would pass the rule by the first token of
   * each.
   *
   * @param self this host
   */
  public QuotaHosts(HostId self) {
    this.self = self;
  }

  /**
   * Takes over the hosts that are registered now.
   *
   * @param registered the hosts; the same instance as long as they don't change
   * @param now the current time by this host's clock, in milliseconds
   * @return whether {@link #all} or {@link #complete} changed
   */
  public boolean update(Collection<RegisteredHost> registered, long now) {
    boolean wasComplete = complete;
    complete = complete(registered, now);
    if (registered == lastRegistered && known.size() == registered.size()) {
      return complete != wasComplete;
    }
    // Hosts that are gone from the list are remembered from now on, not from its last change.
    lastRegistered.forEach(host -> known.put(host.id(), new Known(host, now)));
    lastRegistered = registered;
    registered.forEach(host -> known.put(host.id(), new Known(host, now)));
    known.values().removeIf(entry -> now - entry.registeredAt() > REMEMBERED_MILLIS);
    List<RegisteredHost> before = all;
    all = hosts();
    return complete != wasComplete || !all.equals(before);
  }

  private List<RegisteredHost> hosts() {
    List<RegisteredHost> hosts = new ArrayList<>(known.size());
    known.values().forEach(entry -> hosts.add(entry.host()));
    return List.copyOf(hosts);
  }

  private boolean complete(Collection<RegisteredHost> registered, long now) {
    if (selfSeenAt.isEmpty() && registered.stream().anyMatch(h -> h.id().equals(self))) {
      selfSeenAt = OptionalLong.of(now);
    }
    return selfSeenAt.isPresent() && now - selfSeenAt.getAsLong() >= LISTING_MILLIS;
  }

  /**
   * Returns the hosts.
   *
   * @return all hosts registered now or a short while ago
   */
  public List<RegisteredHost> all() {
    return all;
  }

  /**
   * Whether the hosts are those of the whole fleet.
   *
   * @return false during the first seconds of this host
   */
  public boolean complete() {
    return complete;
  }
}
