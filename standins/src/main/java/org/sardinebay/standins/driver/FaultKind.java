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
  /** Cuts all links of a process, in both directions. */
  CUT_PROCESS,
  /** Cuts the outgoing direction of all links of a process: what it sends is lost. */
  CUT_ONE_WAY,
  /** Cuts the links between two processes, in both directions. */
  CUT_PAIR,
  /** Cuts all links between a failure domain and the other processes. */
  CUT_DOMAIN,
  /** Delays all traffic to a process. */
  SLOW_LINKS,
  LOSE_REPLIES,
  CROSS_REPLIES,
  REPLICA_LAG,
  FREEZE_APPLY,
  PLATFORM_OUTAGE,
  PLATFORM_SLOW,
  PLATFORM_LOSES_ANSWERS,
  /** Sends more calls than the platform's rate limit allows, so that it refuses calls. */
  PLATFORM_FLOOD,
  /** Two operators write the same record concurrently. */
  RACING_OPERATORS,
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
