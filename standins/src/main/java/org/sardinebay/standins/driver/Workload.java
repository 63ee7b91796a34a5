package org.sardinebay.standins.driver;

/**
 * The mix of operations of each session, in percent; the remainder are transactions.
 *
 * @param writes the share of single writes
 * @param sessionReads the share of reads that must show what the session wrote and read
 * @param boundedStalenessReads the share of reads with a maximum age
 * @param maxPauseMillis the maximum pause between two operations
 */
record Workload(int writes, int sessionReads, int boundedStalenessReads, int maxPauseMillis) {
  /** For {@code prove}: many writes and transactions. */
  static final Workload PROOF = new Workload(35, 30, 20, 40);

  /** For {@code measure}: mostly reads. */
  static final Workload MEASUREMENT = new Workload(15, 40, 40, 20);
}
