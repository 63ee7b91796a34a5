package org.sardinebay.standins.driver;

import org.sardinebay.record.FieldReader;

/** What can go wrong on purpose. */
enum FaultKind {
  /** SIGKILL, and a new start when the fault ends. */
  KILL,
  /** SIGSTOP, and SIGCONT when the fault ends. */
  FREEZE,
  /** SIGTERM of a proxy, and a new start when it has ended. */
  TERMINATE,
  /** All links of a process, both ways. */
  CUT_PROCESS,
  /** The links from a process: what it sends is lost. */
  CUT_ONE_WAY,
  /** The links between two processes, both ways. */
  CUT_PAIR,
  /** All links between a failure domain and the rest. */
  CUT_DOMAIN,
  /** All links to a process are slow. */
  SLOW_LINKS,
  LOSE_REPLIES,
  CROSS_REPLIES,
  REPLICA_LAG,
  FREEZE_APPLY,
  PLATFORM_OUTAGE,
  PLATFORM_SLOW,
  PLATFORM_LOSES_ANSWERS,
  /** More calls than the platform takes, so that it refuses. */
  PLATFORM_FLOOD,
  /** Two operators write one record at once. */
  RACING_OPERATORS,
  LEAVING_ENDPOINT;

  String spelling() {
    return FieldReader.jsonName(this);
  }

  boolean isOfPlatform() {
    return this == PLATFORM_OUTAGE
        || this == PLATFORM_SLOW
        || this == PLATFORM_LOSES_ANSWERS
        || this == PLATFORM_FLOOD;
  }
}
