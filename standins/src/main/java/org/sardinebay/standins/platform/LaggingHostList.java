package org.sardinebay.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.PlatformResult;

/** The list of hosts, which shows each change only after a lag. */
final class LaggingHostList {
  private final long lagMillis;
  private final Map<String, HostEntry> seen = new TreeMap<>();
  private final Deque<Change> unseen = new ArrayDeque<>();
  private long revision = 1;

  LaggingHostList(long lagMillis, List<HostEntry> hosts) {
    this.lagMillis = lagMillis;
    hosts.forEach(host -> seen.put(host.name(), host));
  }

  void put(HostEntry host, long now) {
    unseen.add(new Change(now + lagMillis, host, false));
  }

  void remove(HostEntry host, long now) {
    unseen.add(new Change(now + lagMillis, host, true));
  }

  PlatformResult.Hosts read(long now) {
    while (!unseen.isEmpty() && unseen.peek().seenAt() <= now) {
      apply(unseen.remove());
    }
    return new PlatformResult.Hosts(revision, List.copyOf(seen.values()));
  }

  private void apply(Change change) {
    revision++;
    if (change.gone()) {
      seen.remove(change.host().name());
    } else {
      seen.put(change.host().name(), change.host());
    }
  }

  private record Change(long seenAt, HostEntry host, boolean gone) {}
}
