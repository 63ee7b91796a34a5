package org.sardinebay.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.PlatformResult;

/** A host list in which each change becomes visible only after a lag. */
final class LaggingHostList {
  private final long lagMillis;
  private final Map<String, HostEntry> visible = new TreeMap<>();
  private final Deque<Change> pending = new ArrayDeque<>();
  private long revision = 1;

  LaggingHostList(long lagMillis, List<HostEntry> hosts) {
    this.lagMillis = lagMillis;
    hosts.forEach(host -> visible.put(host.name(), host));
  }

  void put(HostEntry host, long now) {
    pending.add(new Change(now + lagMillis, host, false));
  }

  void remove(HostEntry host, long now) {
    pending.add(new Change(now + lagMillis, host, true));
  }

  PlatformResult.Hosts read(long now) {
    while (!pending.isEmpty() && pending.peek().visibleAt() <= now) {
      apply(pending.remove());
    }
    return new PlatformResult.Hosts(revision, List.copyOf(visible.values()));
  }

  private void apply(Change change) {
    revision++;
    if (change.gone()) {
      visible.remove(change.host().name());
    } else {
      visible.put(change.host().name(), change.host());
    }
  }

  private record Change(long visibleAt, HostEntry host, boolean gone) {}
}
