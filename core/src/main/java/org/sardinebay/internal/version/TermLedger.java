package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.DatabaseId;
import org.sardinebay.internal.process.InvariantListener;
import org.sardinebay.internal.process.InvariantViolation;

/**
 * Remembers who claimed the latest term of each database and checks that nobody else did.
 *
 * <pre>{@code
 * ledger.claimed(database, term, driver);
 * }</pre>
 *
 * <p>Not safe for several threads.
 */
public final class TermLedger {
  private final InvariantListener listener;
  private final Map<DatabaseId, Claim> latest = new HashMap<>();

  /**
   * Creates an empty ledger.
   *
   * @param listener told of a term with two drivers
   */
  public TermLedger(InvariantListener listener) {
    this.listener = listener;
  }

  /**
   * Notes a claim.
   *
   * @param database the database
   * @param term the term
   * @param driver who claimed it
   */
  public void claimed(DatabaseId database, long term, String driver) {
    Claim known = latest.get(database);
    if (known == null || known.term < term) {
      latest.put(database, new Claim(term, driver));
    } else if (known.term == term && !known.driver.equals(driver)) {
      listener.violated(
          new InvariantViolation.TermClaimedTwice(database, term, known.driver, driver));
    }
  }

  private record Claim(long term, String driver) {}
}
