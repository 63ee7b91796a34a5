package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.DatabaseId;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.process.InvariantReporter;

/**
 * Records which driver (promotion attempt) claimed the latest term of each database and checks that
 * no other driver claims the same term.
 *
 * <pre>{@code
 * termClaims.claimed(database, term, attemptId);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class TermClaims {
  private final InvariantReporter invariantReporter;
  private final Map<DatabaseId, Claim> latest = new HashMap<>();

  /**
   * Creates an object without claims.
   *
   * @param invariantReporter receives a violation if two drivers claim the same term
   */
  public TermClaims(InvariantReporter invariantReporter) {
    this.invariantReporter = invariantReporter;
  }

  /**
   * Records a claim.
   *
   * @param database the database
   * @param term the term
   * @param driver the ID of the promotion attempt that claimed it
   */
  public void claimed(DatabaseId database, long term, String driver) {
    Claim known = latest.get(database);
    if (known == null || known.term < term) {
      latest.put(database, new Claim(term, driver));
    } else if (known.term == term && !known.driver.equals(driver)) {
      invariantReporter.violated(
          InvariantName.TERM_HAS_ONE_DRIVER,
          database + ": " + known.driver + " and " + driver + " both claimed term " + term);
    }
  }

  private record Claim(long term, String driver) {}
}
