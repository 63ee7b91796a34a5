package org.sardinebay.standins.driver;

import org.sardinebay.record.FieldReader;

/** The kinds of fault that the driver injects. */
enum FaultKind {
  /** SIGKILL; the process is restarted when the fault ends. */
  KILL,
  /** SIGSTOP; SIGCONT when the fault ends. */
  FREEZE,
  /** SIGTERM of a proxy; the proxy is restarted after it has exited. */
  TERMINATE,
  /** Cuts all links between a process and the other processes, but not those of callers. */
  CUT_PROCESS,
  /**
   * Discards everything that a process sends to other processes, but not its answers to callers.
   */
  CUT_ONE_WAY,
  /** Cuts the links between two processes, in both directions. */
  CUT_PAIR,
  /** Cuts all links between a failure domain and the other processes. */
  CUT_DOMAIN,
  /** Delays all traffic on the links to a process. */
  SLOW_LINKS,
  /** A member discards its replies to a number of executed statements. */
  LOSE_REPLIES,
  /** A member swaps the replies to a number of pairs of statements. */
  CROSS_REPLIES,
  /** Delays the receipt and the application of entries at a replica. */
  REPLICA_LAG,
  /** A replica stops applying entries. */
  FREEZE_APPLY,
  /** The platform fails all calls immediately as unavailable. */
  PLATFORM_OUTAGE,
  /** The platform delays each answer. */
  PLATFORM_SLOW,
  /** The platform executes some writes and deletions without answering them. */
  PLATFORM_LOSES_ANSWERS,
  /** Sends more calls than the platform's rate limit allows, so that it refuses calls. */
  PLATFORM_FLOOD,
  /** Two operators write the same record concurrently. */
  RACING_OPERATORS,
  /** A member announces that it is shutting down and refuses new connections. */
  LEAVING_ENDPOINT;

  String key() {
    return FieldReader.jsonName(this);
  }

  boolean affectsPlatform() {
    return this == PLATFORM_OUTAGE
        || this == PLATFORM_SLOW
        || this == PLATFORM_LOSES_ANSWERS
        || this == PLATFORM_FLOOD;
  }
}
