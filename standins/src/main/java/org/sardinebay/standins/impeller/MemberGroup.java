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
  static final class MemberStatus {
    private int received;
    private long term = 1;
    private long fenceTerm;
    private boolean leads;
    private boolean running = true;
    private long lagMillis;

    private MemberStatus(boolean leads, long lagMillis) {
      this.leads = leads;
      this.lagMillis = lagMillis;
    }
  }

  private final Clock clock;
  private final List<Entry> log = new ArrayList<>();
  private final Map<String, MemberStatus> memberStatuses = new HashMap<>();
  private long term = 1;

  MemberGroup(Clock clock) {
    this.clock = clock;
  }

  synchronized void add(String member, boolean leads, long lagMillis) {
    memberStatuses.put(member, new MemberStatus(leads, lagMillis));
  }

  synchronized void lag(String member, long millis) {
    memberStatuses.get(member).lagMillis = millis;
  }

  synchronized void running(String member, boolean running) {
    MemberStatus memberStatus = memberStatuses.get(member);
    memberStatus.running = running;
    if (!running) {
      memberStatus.fenceTerm = 0;
    }
  }

  synchronized boolean isPrimary(String member) {
    return memberStatuses.get(member).leads;
  }

  synchronized String position(String member) {
    return position(catchUp(member));
  }

  private String position(MemberStatus memberStatus) {
    return memberStatus.received == 0
        ? "1.0"
        : log.get(memberStatus.received - 1).term + "." + log.get(memberStatus.received - 1).index;
  }

  synchronized String status(String member, int busy, int connections) {
    MemberStatus memberStatus = catchUp(member);
    return String.join(
        " ",
        memberStatus.leads ? "primary" : "replica",
        Long.toString(memberStatus.term),
        position(memberStatus),
        Long.toString(memberStatus.fenceTerm),
        Long.toString(memberStatus.lagMillis),
        Integer.toString(busy),
        Integer.toString(connections));
  }

  synchronized boolean hasReceived(String member, String position) {
    MemberStatus memberStatus = catchUp(member);
    for (int i = memberStatus.received - 1; i >= 0; i--) {
      Entry entry = log.get(i);
      if ((entry.term + "." + entry.index).equals(position)) {
        return true;
      }
    }
    return position.endsWith(".0");
  }

  synchronized Optional<String> read(String member, String item) {
    MemberStatus memberStatus = catchUp(member);
    for (int i = memberStatus.received - 1; i >= 0; i--) {
      if (log.get(i).item.equals(item)) {
        return Optional.of(log.get(i).data);
      }
    }
    return Optional.empty();
  }

  /** Commits writes at a member; returns false if it is not the primary of the current term. */
  synchronized boolean commit(String member, Map<String, String> writes) {
    MemberStatus memberStatus = memberStatuses.get(member);
    if (!memberStatus.leads || memberStatus.term < term) {
      return false;
    }
    writes.forEach(
        (item, data) -> log.add(new Entry(term, log.size() + 1, item, data, clock.millis())));
    memberStatus.received = log.size();
    return true;
  }

  synchronized long commitsOf(String item) {
    return log.stream().filter(entry -> entry.item.equals(item)).count();
  }

  synchronized void fence(String member, long newTerm) {
    MemberStatus memberStatus = catchUp(member);
    if (!memberStatus.leads && newTerm > memberStatus.term) {
      memberStatus.fenceTerm = newTerm;
    }
  }

  synchronized void unfence(String member) {
    memberStatuses.get(member).fenceTerm = 0;
  }

  synchronized void demote(String member, long newTerm) {
    MemberStatus memberStatus = memberStatuses.get(member);
    if (memberStatus.leads && memberStatus.term < newTerm) {
      memberStatus.leads = false;
    }
  }

  /**
   * Makes a member the primary of the next term. Writes that it has not received are truncated.
   * Returns false if the member is not running.
   */
  synchronized boolean promote(String member) {
    MemberStatus target = catchUp(member);
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
    for (MemberStatus memberStatus : memberStatuses.values()) {
      memberStatus.leads = memberStatus == target;
      memberStatus.term = term;
      memberStatus.fenceTerm = 0;
      memberStatus.received = Math.min(memberStatus.received, log.size());
    }
    return true;
  }

  private MemberStatus catchUp(String member) {
    MemberStatus memberStatus = memberStatuses.get(member);
    if (memberStatus.leads) {
      return memberStatus;
    }
    long now = clock.millis();
    while (memberStatus.fenceTerm == 0
        && memberStatus.received < log.size()
        && log.get(memberStatus.received).committedAt + memberStatus.lagMillis <= now) {
      memberStatus.received++;
    }
    return memberStatus;
  }
}
