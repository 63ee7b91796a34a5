package org.sardinebay.internal.version;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.sardinebay.FailureDomain;

/**
 * Reports of the watchers in each failure domain about how long the primary of a term has not
 * replied.
 *
 * <pre>{@code
 * reports.reported(domain, term, silentMillis, now);
 * boolean failed = reports.conclusive(domains, term, now);
 * }</pre>
 *
 * <p>A primary is considered failed only if it doesn't reply to a majority of the failure domains
 * that contain members. A partition between a single host and the primary therefore has no effect.
 */
public final class SilenceReports {
  /** The age after which a report is ignored, in milliseconds. */
  public static final long REPORT_VALID_MILLIS = 350;

  private final Map<FailureDomain, Report> reports = new TreeMap<>();

  /**
   * Records a watcher's report.
   *
   * @param domain the watcher's failure domain
   * @param term the term whose primary it watches
   * @param silentMillis how long that primary has not replied to it
   * @param nowMillis when the report arrived
   */
  public void reported(FailureDomain domain, long term, long silentMillis, long nowMillis) {
    reports.put(domain, new Report(term, silentMillis, nowMillis));
  }

  /**
   * Returns whether the reports show that a primary has failed.
   *
   * @param domains the failure domains that contain members
   * @param term the primary's term
   * @param nowMillis the current time
   * @return true if valid reports from a majority of the failure domains say that it doesn't reply
   */
  public boolean conclusive(Set<FailureDomain> domains, long term, long nowMillis) {
    long silent = domains.stream().filter(domain -> silent(domain, term, nowMillis)).count();
    return silent > domains.size() / 2;
  }

  /**
   * Returns the latest report of each failure domain.
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
   * A watcher's report.
   *
   * @param term the term whose primary it watches
   * @param silentMillis how long that primary has not replied
   * @param arrivedMillis when the report arrived
   */
  public record Report(long term, long silentMillis, long arrivedMillis) {}
}
