package org.sardinebay.standins.driver;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the reads that a router which knows every true position would have sent to a replica: one
 * that had what the read needs by the time at which the answer came.
 */
final class OracleRouter {
  private final Topology topology;
  private final PositionSampler positions;

  OracleRouter(Topology topology, PositionSampler positions) {
    this.topology = topology;
    this.positions = positions;
  }

  /**
   * Judges reads by a replica's true position. A read of a stated age must show what its session
   * wrote and read too, as it must at the proxies.
   *
   * @param operations the operations of all sessions, in each session's order
   * @param primaries the primary of each database while the reads ran
   * @return for each done read whether a replica could have served it
   */
  Map<Operation.Read, Boolean> classify(List<Operation> operations, Map<String, String> primaries) {
    Map<String, Long> sessionIndex = new HashMap<>();
    Map<Operation.Read, Boolean> judged = new HashMap<>();
    for (Operation operation : operations) {
      if (operation instanceof Operation.Read read && read.attempt().isDone()) {
        judged.put(read, canServe(read, sessionIndex, primaries));
      }
      for (Attempt attempt : operation.attempts()) {
        if (attempt.isDone() && attempt.answer().position().isPresent()) {
          long index = attempt.answer().position().get().index();
          sessionIndex.merge(session(operation, attempt.database()), index, Math::max);
        }
      }
    }
    return judged;
  }

  private boolean canServe(
      Operation.Read read, Map<String, Long> sessionIndex, Map<String, String> primaries) {
    Attempt attempt = read.attempt();
    String primary = primaries.getOrDefault(attempt.database(), "");
    long ofSession = sessionIndex.getOrDefault(session(read, attempt.database()), 0L);
    long ofAge =
        read.maxAgeMillis().isPresent()
            ? positions.appliedAt(primary, attempt.sentMillis() - read.maxAgeMillis().getAsLong())
            : 0L;
    long needed = Math.max(ofSession, ofAge);
    return topology.nodes(ProcessKind.ENDPOINT).stream()
        .filter(node -> node.group().equals(attempt.database()) && !node.name().equals(primary))
        .anyMatch(node -> positions.appliedAt(node.name(), attempt.endMillis()) >= needed);
  }

  private static String session(Operation operation, String database) {
    return operation.session() + "/" + database;
  }
}
