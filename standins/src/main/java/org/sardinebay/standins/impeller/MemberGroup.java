package org.sardinebay.standins.impeller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Clock;

/**
 * The logs of one service's members: one list of commits, of which each member has received a part.
 * Replicas receive after a lag. Guarded by its own lock.
 */
final class MemberGroup {
  /** One committed write. */
  private record Entry(long term, long index, String item, String data, long committedAt) {}

  /** Where one member stands. */
  static final class Copy {
    private int received;
    private long term = 1;
    private long fenceTerm;
    private boolean leads;
    private boolean running = true;
    private long lagMillis;

    private Copy(boolean leads, long lagMillis) {
      this.leads = leads;
      this.lagMillis = lagMillis;
    }
  }

  private final Clock clock;
  private final List<Entry> log = new ArrayList<>();
  private final Map<String, Copy> copies = new HashMap<>();
  private long term = 1;

  MemberGroup(Clock clock) {
    this.clock = clock;
  }

  synchronized void add(String member, boolean leads, long lagMillis) {
    copies.put(member, new Copy(leads, lagMillis));
  }

  synchronized void lag(String member, long millis) {
    copies.get(member).lagMillis = millis;
  }

  synchronized void running(String member, boolean running) {
    Copy copy = copies.get(member);
    copy.running = running;
    if (!running) {
      copy.fenceTerm = 0;
    }
  }

  synchronized boolean leads(String member) {
    return copies.get(member).leads;
  }

  synchronized String position(String member) {
    return position(receive(member));
  }

  private String position(Copy copy) {
    return copy.received == 0
        ? "1.0"
        : log.get(copy.received - 1).term + "." + log.get(copy.received - 1).index;
  }

  synchronized String status(String member, int busy, int connections) {
    Copy copy = receive(member);
    return String.join(
        " ",
        copy.leads ? "primary" : "replica",
        Long.toString(copy.term),
        position(copy),
        Long.toString(copy.fenceTerm),
        Long.toString(copy.lagMillis),
        Integer.toString(busy),
        Integer.toString(connections));
  }

  synchronized boolean holds(String member, String position) {
    Copy copy = receive(member);
    for (int i = copy.received - 1; i >= 0; i--) {
      Entry entry = log.get(i);
      if ((entry.term + "." + entry.index).equals(position)) {
        return true;
      }
    }
    return position.endsWith(".0");
  }

  synchronized Optional<String> read(String member, String item) {
    Copy copy = receive(member);
    for (int i = copy.received - 1; i >= 0; i--) {
      if (log.get(i).item.equals(item)) {
        return Optional.of(log.get(i).data);
      }
    }
    return Optional.empty();
  }

  /** Commits writes at a member; false if it doesn't lead. */
  synchronized boolean commit(String member, Map<String, String> writes) {
    Copy copy = copies.get(member);
    if (!copy.leads || copy.term < term) {
      return false;
    }
    writes.forEach(
        (item, data) -> log.add(new Entry(term, log.size() + 1, item, data, clock.millis())));
    copy.received = log.size();
    return true;
  }

  synchronized long commitsOf(String item) {
    return log.stream().filter(entry -> entry.item.equals(item)).count();
  }

  synchronized void fence(String member, long at) {
    Copy copy = receive(member);
    if (!copy.leads && at > copy.term) {
      copy.fenceTerm = at;
    }
  }

  synchronized void unfence(String member) {
    copies.get(member).fenceTerm = 0;
  }

  synchronized void demote(String member, long at) {
    Copy copy = copies.get(member);
    if (copy.leads && copy.term < at) {
      copy.leads = false;
    }
  }

  /** Makes a member lead the next term with what it has received; false if it is not running. */
  synchronized boolean promote(String member) {
    Copy target = receive(member);
    if (!target.running) {
      return false;
    }
    if (target.leads) {
      return true;
    }
    term++;
    while (log.size() > target.received) {
      log.remove(log.size() - 1);
    }
    for (Copy copy : copies.values()) {
      copy.leads = copy == target;
      copy.term = term;
      copy.fenceTerm = 0;
      copy.received = Math.min(copy.received, log.size());
    }
    return true;
  }

  private Copy receive(String member) {
    Copy copy = copies.get(member);
    if (copy.leads) {
      return copy;
    }
    long now = clock.millis();
    while (copy.fenceTerm == 0
        && copy.received < log.size()
        && log.get(copy.received).committedAt + copy.lagMillis <= now) {
      copy.received++;
    }
    return copy;
  }
}
