package org.sardinebay.internal.version;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.sardinebay.FailureDomain;

/**
 * What the watchers of the failure domains say about the silence of one term's primary.
 *
 * <pre>{@code
 * evidence.reported(domain, term, silentMillis, now);
 * boolean dead = evidence.conclusive(domains, term, now);
 * }</pre>
 *
 * <p>A primary counts as dead only if it is silent towards a majority of the failure domains that
 * hold members, so that a cut between one host and the primary changes nothing.
 */
public final class SilenceEvidence {
  /** The age after which a report counts no more. */
  public static final long REPORT_VALID_MILLIS = 350;

  private final Map<FailureDomain, Report> reports = new TreeMap<>();

  /**
   * Takes one watcher's report.
   *
   * @param domain the watcher's failure domain
   * @param term the term whose primary it watches
   * @param silentMillis how long that primary has been silent towards it
   * @param nowMillis when the report arrived
   */
  public void reported(FailureDomain domain, long term, long silentMillis, long nowMillis) {
    reports.put(domain, new Report(term, silentMillis, nowMillis));
  }

  /**
   * Whether the reports show that a primary is dead.
   *
   * @param domains the failure domains that hold members
   * @param term the primary's term
   * @param nowMillis the time
   * @return true if a majority of the failure domains finds it silent now
   */
  public boolean conclusive(Set<FailureDomain> domains, long term, long nowMillis) {
    long silent = domains.stream().filter(domain -> silent(domain, term, nowMillis)).count();
    return silent > domains.size() / 2;
  }

  /**
   * The latest report of each failure domain.
   *
   * @return the reports
   */
  public Map<FailureDomain, Report> reports() {
    return Map.copyOf(reports);
  }

  private boolean silent(FailureDomain domain, long term, long nowMillis) {
    Report report = reports.get(domain);
    return report != null
        && report.term == term
        && report.silentMillis >= FailureDetector.SUSPECT_AFTER_MILLIS
        && nowMillis - report.arrivedMillis <= REPORT_VALID_MILLIS;
  }

  /**
   * One watcher's report.
   *
   * @param term the term whose primary it watches
   * @param silentMillis how long that primary has been silent
   * @param arrivedMillis when the report arrived
   */
  public record Report(long term, long silentMillis, long arrivedMillis) {}
}
