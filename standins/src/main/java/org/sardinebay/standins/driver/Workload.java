package org.sardinebay.standins.driver;

/**
 * What each session does, in parts of a hundred; the rest are transactions.
 *
 * @param writes single writes
 * @param sessionReads reads that show what the session wrote and read
 * @param boundedStalenessReads reads of a stated age
 * @param maxPauseMillis the longest pause between two operations
 */
record Workload(int writes, int sessionReads, int boundedStalenessReads, int maxPauseMillis) {
  /** For proofs: many writes and transactions. */
  static final Workload PROOF = new Workload(35, 30, 20, 40);

  /** For measurements: mostly reads. */
  static final Workload MEASUREMENT = new Workload(15, 40, 40, 20);
}
