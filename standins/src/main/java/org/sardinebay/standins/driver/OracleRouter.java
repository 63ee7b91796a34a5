package org.sardinebay.standins.driver;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines which reads an ideal router, one that knows the true position of every member, would
 * have sent to a replica. A replica qualifies if it had applied what the read needs by the time at
 * which the response arrived.
 */
final class OracleRouter {
  private final Topology topology;
  private final PositionSampler positions;

  OracleRouter(Topology topology, PositionSampler positions) {
    this.topology = topology;
    this.positions = positions;
  }

  /**
   * Classifies reads by the true positions of the replicas. As at the proxies, a bounded-staleness
   * read must also show what its session wrote and read.
   *
   * @param operations the operations of all sessions, in each session's order
   * @param primaries the primary of each database during the reads
   * @return for each successful read, whether a replica could have served it
   */
  Map<Operation.Read, Boolean> classify(List<Operation> operations, Map<String, String> primaries) {
    Map<String, Long> sessionIndexes = new HashMap<>();
    Map<Operation.Read, Boolean> servableByReplica = new HashMap<>();
    for (Operation operation : operations) {
      if (operation instanceof Operation.Read read && read.attempt().isDone()) {
        servableByReplica.put(read, canServe(read, sessionIndexes, primaries));
      }
      for (Attempt attempt : operation.attempts()) {
        if (attempt.isDone() && attempt.answer().position().isPresent()) {
          long index = attempt.answer().position().get().index();
          sessionIndexes.merge(sessionKey(operation, attempt.database()), index, Math::max);
        }
      }
    }
    return servableByReplica;
  }

  private boolean canServe(
      Operation.Read read, Map<String, Long> sessionIndexes, Map<String, String> primaries) {
    Attempt attempt = read.attempt();
    String primary = primaries.getOrDefault(attempt.database(), "");
    long sessionRequirement = sessionIndexes.getOrDefault(sessionKey(read, attempt.database()), 0L);
    long stalenessRequirement =
        read.maxAgeMillis().isPresent()
            ? positions.appliedAt(primary, attempt.sentMillis() - read.maxAgeMillis().getAsLong())
            : 0L;
    long needed = Math.max(sessionRequirement, stalenessRequirement);
    return topology.nodes(ProcessKind.ENDPOINT).stream()
        .filter(node -> node.group().equals(attempt.database()) && !node.name().equals(primary))
        .anyMatch(node -> positions.appliedAt(node.name(), attempt.endMillis()) >= needed);
  }

  private static String sessionKey(Operation operation, String database) {
    return operation.session() + "/" + database;
  }
}
