package org.sardinebay.standins.impeller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Clock;

/**
 * The replicated log of a service: one list of committed writes, of which each member has received
 * a prefix. A write reaches a replica after the lag of that replica. Thread-safe.
 */
final class MemberGroup {
  /** One committed write. */
  private record Entry(long term, long index, String item, String data, long committedAt) {}

  /** The replication state of one member. */
  static final class ReplicationState {
    private int received;
    private long term = 1;
    private long fenceTerm;
    private boolean leads;
    private boolean running = true;
    private long lagMillis;

    private ReplicationState(boolean leads, long lagMillis) {
      this.leads = leads;
      this.lagMillis = lagMillis;
    }
  }

  private final Clock clock;
  private final List<Entry> log = new ArrayList<>();
  private final Map<String, ReplicationState> replicationStates = new HashMap<>();
  private long term = 1;

  MemberGroup(Clock clock) {
    this.clock = clock;
  }

  synchronized void add(String member, boolean leads, long lagMillis) {
    replicationStates.put(member, new ReplicationState(leads, lagMillis));
  }

  synchronized void lag(String member, long millis) {
    replicationStates.get(member).lagMillis = millis;
  }

  synchronized void running(String member, boolean running) {
    ReplicationState state = replicationStates.get(member);
    state.running = running;
    if (!running) {
      state.fenceTerm = 0;
    }
  }

  synchronized boolean isPrimary(String member) {
    return replicationStates.get(member).leads;
  }

  synchronized String position(String member) {
    return position(catchUp(member));
  }

  private String position(ReplicationState state) {
    return state.received == 0
        ? "1.0"
        : log.get(state.received - 1).term + "." + log.get(state.received - 1).index;
  }

  synchronized String status(String member, int busy, int connections) {
    ReplicationState state = catchUp(member);
    return String.join(
        " ",
        state.leads ? "primary" : "replica",
        Long.toString(state.term),
        position(state),
        Long.toString(state.fenceTerm),
        Long.toString(state.lagMillis),
        Integer.toString(busy),
        Integer.toString(connections));
  }

  synchronized boolean hasReceived(String member, String position) {
    ReplicationState state = catchUp(member);
    for (int i = state.received - 1; i >= 0; i--) {
      Entry entry = log.get(i);
      if ((entry.term + "." + entry.index).equals(position)) {
        return true;
      }
    }
    return position.endsWith(".0");
  }

  synchronized Optional<String> read(String member, String item) {
    ReplicationState state = catchUp(member);
    for (int i = state.received - 1; i >= 0; i--) {
      if (log.get(i).item.equals(item)) {
        return Optional.of(log.get(i).data);
      }
    }
    return Optional.empty();
  }

  /** Commits writes at a member; returns false if it is not the primary of the current term. */
  synchronized boolean commit(String member, Map<String, String> writes) {
    ReplicationState state = replicationStates.get(member);
    if (!state.leads || state.term < term) {
      return false;
    }
    writes.forEach(
        (item, data) -> log.add(new Entry(term, log.size() + 1, item, data, clock.millis())));
    state.received = log.size();
    return true;
  }

  synchronized long commitsOf(String item) {
    return log.stream().filter(entry -> entry.item.equals(item)).count();
  }

  /** Returns the data of the commits of an item, in their order. */
  synchronized List<String> committed(String item) {
    return log.stream().filter(entry -> entry.item.equals(item)).map(Entry::data).toList();
  }

  synchronized void fence(String member, long newTerm) {
    ReplicationState state = catchUp(member);
    if (!state.leads && newTerm > state.term) {
      state.fenceTerm = newTerm;
    }
  }

  synchronized void unfence(String member) {
    replicationStates.get(member).fenceTerm = 0;
  }

  synchronized void demote(String member, long newTerm) {
    ReplicationState state = replicationStates.get(member);
    if (state.leads && state.term < newTerm) {
      state.leads = false;
    }
  }

  /**
   * Makes a member the primary of the next term. Writes that it has not received are truncated.
   * Returns false if the member is not running.
   */
  synchronized boolean promote(String member) {
    ReplicationState target = catchUp(member);
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
    for (ReplicationState state : replicationStates.values()) {
      state.leads = state == target;
      state.term = term;
      state.fenceTerm = 0;
      state.received = Math.min(state.received, log.size());
    }
    return true;
  }

  private ReplicationState catchUp(String member) {
    ReplicationState state = replicationStates.get(member);
    if (state.leads) {
      return state;
    }
    long now = clock.millis();
    while (state.fenceTerm == 0
        && state.received < log.size()
        && log.get(state.received).committedAt + state.lagMillis <= now) {
      state.received++;
    }
    return state;
  }
}
