package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.session.MemberEntry;

/**
 * Members whose registry entries have disappeared. Such a member may still run, be reached by other
 * hosts and register again. It has ended for certain only once another member is registered at its
 * address.
 *
 * <pre>{@code
 * departed.onMembers(known, entries, now);
 * List<MemberId> recent = departed.within(millis, now);
 * }</pre>
 */
final class DepartedMembers {
  private final Map<MemberId, Departure> departures = new HashMap<>();

  private record Departure(Address address, long at) {}

  /** Records which members have disappeared, or returned, with a new list of entries. */
  void onMembers(Collection<MemberEntry> known, Collection<MemberEntry> listed, long now) {
    for (MemberEntry entry : known) {
      departures.putIfAbsent(entry.id(), new Departure(entry.address(), now));
    }
    for (MemberEntry entry : listed) {
      departures.remove(entry.id());
      departures.values().removeIf(d -> d.address().equals(entry.address()));
    }
  }

  /** Returns all members that have disappeared and were not discarded. */
  Set<MemberId> all() {
    return departures.keySet();
  }

  /** Returns the members that have disappeared within the given time. */
  List<MemberId> within(long millis, long now) {
    return departures.entrySet().stream()
        .filter(departure -> now - departure.getValue().at() < millis)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Discards the members that disappeared longer ago. */
  void discardOlderThan(long millis, long now) {
    departures.values().removeIf(departure -> now - departure.at() >= millis);
  }
}
