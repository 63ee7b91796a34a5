package org.sardinebay.controller.internal.process;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.sardinebay.DatabaseId;
import org.sardinebay.MemberId;
import org.sardinebay.controller.internal.version.DatabaseSupervisor;
import org.sardinebay.internal.version.PromotionRecord;
import org.sardinebay.internal.version.WatchAssignment;
import org.sardinebay.net.peer.generated.SuspicionCall;
import org.sardinebay.net.peer.generated.SuspicionReply;
import org.sardinebay.platform.HostEntry;

/**
 * The supervisors of the databases that this controller watches.
 *
 * <pre>{@code
 * supervisors.tick(); // every 100 ms
 * }</pre>
 */
final class Supervisors {
  private final ControllerRuntime runtime;
  private final Topology topology;
  private final PredecessorMonitor predecessorMonitor;
  private final Map<DatabaseId, DatabaseSupervisor> supervisors = new ConcurrentHashMap<>();

  Supervisors(ControllerRuntime runtime, Topology topology, PredecessorMonitor predecessorMonitor) {
    this.runtime = runtime;
    this.topology = topology;
    this.predecessorMonitor = predecessorMonitor;
  }

  void tick() {
    List<WatchAssignment> assignments = topology.assignments();
    predecessorMonitor.tick(assignments);
    Set<MemberId> leaving = leavingMembers();
    Set<DatabaseId> watched = new TreeSet<>();
    for (WatchAssignment assignment : assignments) {
      DatabaseId database = assignment.database().id();
      boolean active = assignment.active(predecessorMonitor::silent);
      if (active || promoting(database)) {
        watched.add(database);
        supervisors
            .computeIfAbsent(database, id -> new DatabaseSupervisor(runtime, assignment))
            .tick(assignment, leaving);
      }
    }
    supervisors.keySet().retainAll(watched);
  }

  void onPromotionRecord(DatabaseId database, PromotionRecord record) {
    DatabaseSupervisor supervisor = supervisors.get(database);
    if (supervisor != null) {
      supervisor.onPromotionRecord(record);
    }
  }

  /**
   * Answers a suspicion call. In the reply, {@code known} is false if this controller does not
   * watch the database, as for the probes of a {@link PredecessorMonitor}, which contain no
   * database name.
   */
  SuspicionReply suspicion(SuspicionCall call) {
    DatabaseSupervisor supervisor =
        call.getDatabase().isEmpty() ? null : supervisors.get(new DatabaseId(call.getDatabase()));
    return supervisor == null ? SuspicionReply.getDefaultInstance() : supervisor.suspicion(call);
  }

  Collection<DatabaseSupervisor> all() {
    return supervisors.values();
  }

  private boolean promoting(DatabaseId database) {
    DatabaseSupervisor supervisor = supervisors.get(database);
    return supervisor != null && supervisor.promoting();
  }

  private Set<MemberId> leavingMembers() {
    Set<MemberId> leaving = new TreeSet<>();
    for (HostEntry host : topology.hosts()) {
      if (host.leaving()) {
        leaving.add(new MemberId(host.name()));
      }
    }
    return leaving;
  }
}
