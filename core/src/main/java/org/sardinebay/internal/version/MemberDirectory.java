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
 * The registered members, with a delay before one whose entry has vanished counts as gone: entries
 * also lapse while the registry is away, and come back soon after its return.
 *
 * <pre>{@code
 * directory.replaceAll(entries, now);
 * directory.remove(id, now);
 * List<MemberEntry> members = directory.members(now);
 * }</pre>
 */
public final class MemberDirectory {
  /**
   * How long a vanished entry is still used, in milliseconds: above the two seconds within which
   * members register again after an outage, below the time after which nothing may be sent to a
   * member that has left.
   */
  public static final long LAPSE_GRACE_MILLIS = 3_500;

  private final Map<MemberId, MemberEntry> entries = new LinkedHashMap<>();
  private final Map<MemberId, Long> vanishedAt = new HashMap<>();
  private List<MemberEntry> current = List.of();
  private boolean changed;

  /**
   * Takes over a complete list.
   *
   * @param listed all registered members
   * @param now the time
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
   * Takes over one entry.
   *
   * @param entry the entry
   */
  public void put(MemberEntry entry) {
    boolean known = entry.equals(entries.put(entry.id(), entry));
    boolean back = vanishedAt.remove(entry.id()) != null;
    changed |= !known || back;
  }

  /**
   * Notes that an entry has vanished.
   *
   * @param id the member
   * @param now the time
   */
  public void remove(MemberId id, long now) {
    if (entries.containsKey(id) && vanishedAt.putIfAbsent(id, now) == null) {
      changed = true;
    }
  }

  /**
   * The members to use.
   *
   * @param now the time
   * @return those registered, and those whose entry vanished a short while ago; the same list until
   *     something changes
   */
  public List<MemberEntry> members(long now) {
    List<MemberId> gone = new ArrayList<>();
    vanishedAt.forEach(
        (id, at) -> {
          if (now - at >= LAPSE_GRACE_MILLIS) {
            gone.add(id);
          }
        });
    gone.forEach(
        id -> {
          vanishedAt.remove(id);
          entries.remove(id);
          changed = true;
        });
    if (changed) {
      current =
          entries.values().stream()
              .map(entry -> vanishedAt.containsKey(entry.id()) ? entry.lapse() : entry)
              .toList();
      changed = false;
    }
    return current;
  }
}
