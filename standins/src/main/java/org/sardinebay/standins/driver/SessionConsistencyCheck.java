package org.sardinebay.standins.driver;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks that no read without a maximum age misses a value that its session wrote or read before. A
 * session whose position was dropped by a promotion is reset: it must still see its acknowledged
 * writes, but no longer the values that it only read.
 */
final class SessionConsistencyCheck implements HistoryCheck {
  @Override
  public CheckResult check(History history, FinalState state) {
    CheckResult result = new CheckResult(Invariant.READ_YOUR_WRITES);
    Map<String, Session> sessions = new HashMap<>();
    for (Operation operation : history.operations()) {
      Session session = sessions.computeIfAbsent(operation.session(), name -> new Session());
      if (operation instanceof Operation.Read read && read.attempt().isDone()) {
        checkRead(result, session, read);
      } else if (operation instanceof Operation.Write write && write.outcome() == Outcome.DONE) {
        session.addAcknowledged(write.key(), write.value());
      } else if (operation instanceof Operation.Transaction transaction
          && transaction.outcome() == Outcome.DONE) {
        session.addAcknowledged(Keys.first(transaction.pair()), transaction.value());
        session.addAcknowledged(Keys.second(transaction.pair()), transaction.value());
      } else if (operation instanceof Operation.SessionReset) {
        session.reset();
      }
    }
    return result;
  }

  private static void checkRead(CheckResult result, Session session, Operation.Read read) {
    Set<String> rows = new HashSet<>(read.attempt().answer().rows());
    if (read.maxAgeMillis().isEmpty()) {
      Set<String> missing = session.required(read.key());
      missing.removeAll(rows);
      result.check(
          missing.isEmpty(),
          "session %s read %s at %d ms without %s; %s"
              .formatted(
                  read.session(),
                  read.key(),
                  read.attempt().sentMillis(),
                  missing,
                  read.attempt().answer().servedBy()));
    }
    session.addSeen(read.key(), rows);
  }

  /** The values that one session must see, by key. */
  private static final class Session {
    private final Map<String, Set<String>> acknowledged = new HashMap<>();
    private final Map<String, Set<String>> seen = new HashMap<>();

    void addAcknowledged(String key, String value) {
      acknowledged.computeIfAbsent(key, unused -> new HashSet<>()).add(value);
    }

    void addSeen(String key, Set<String> values) {
      seen.computeIfAbsent(key, unused -> new HashSet<>()).addAll(values);
    }

    Set<String> required(String key) {
      Set<String> required = new HashSet<>(acknowledged.getOrDefault(key, Set.of()));
      required.addAll(seen.getOrDefault(key, Set.of()));
      return required;
    }

    void reset() {
      seen.clear();
    }
  }
}
