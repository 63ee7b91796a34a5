package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sardinebay.MemberId;
import org.sardinebay.session.MemberEntry;

/**
 * The registered members. A member whose entry has disappeared is kept for a grace period, because
 * entries also expire while the registry is unavailable, and are registered again soon after it
 * recovers.
 *
 * <pre>{@code
 * directory.replaceAll(entries, now);
 * directory.remove(id, now);
 * List<MemberEntry> members = directory.members(now);
 * }</pre>
 */
public final class MemberDirectory {
  /**
   * How long an entry is still used after it disappeared, in milliseconds. It is longer than the
   * two seconds within which members register again after an outage, and shorter than the time
   * after which nothing may be sent to a member that has left.
   */
  public static final long EXPIRY_GRACE_MILLIS = 3_500;

  private final Map<MemberId, MemberEntry> entries = new LinkedHashMap<>();
  private final Map<MemberId, Long> missingSince = new HashMap<>();
  private List<MemberEntry> current = List.of();
  private boolean changed;

  /**
   * Replaces the entries by a complete list.
   *
   * @param listed all registered members
   * @param now the current time in milliseconds
   */
  public void replaceAll(Collection<MemberEntry> listed, long now) {
    Set<MemberId> missing = new HashSet<>(entries.keySet());
    for (MemberEntry entry : listed) {
      put(entry);
      missing.remove(entry.id());
    }
    missing.forEach(id -> remove(id, now));
  }

  /**
   * Adds or updates one entry.
   *
   * @param entry the entry
   */
  public void put(MemberEntry entry) {
    boolean unchanged = entry.equals(entries.put(entry.id(), entry));
    boolean returned = missingSince.remove(entry.id()) != null;
    changed |= !unchanged || returned;
  }

  /**
   * Records that an entry has disappeared from the registry.
   *
   * @param id the member
   * @param now the current time in milliseconds
   */
  public void remove(MemberId id, long now) {
    if (entries.containsKey(id) && missingSince.putIfAbsent(id, now) == null) {
      changed = true;
    }
  }

  /**
   * Returns the members to use.
   *
   * @param now the current time in milliseconds
   * @return the registered members, and those whose entry disappeared less than {@link
   *     #EXPIRY_GRACE_MILLIS} ago; the same list until something changes
   */
  public List<MemberEntry> members(long now) {
    List<MemberId> expired = new ArrayList<>();
    missingSince.forEach(
        (id, at) -> {
          if (now - at >= EXPIRY_GRACE_MILLIS) {
            expired.add(id);
          }
        });
    expired.forEach(
        id -> {
          missingSince.remove(id);
          entries.remove(id);
          changed = true;
        });
    if (changed) {
      current =
          entries.values().stream()
              .map(entry -> missingSince.containsKey(entry.id()) ? entry.asExpired() : entry)
              .toList();
      changed = false;
    }
    return current;
  }
}
