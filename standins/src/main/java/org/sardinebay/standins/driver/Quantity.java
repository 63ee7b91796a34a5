package org.sardinebay.standins.driver;

import java.util.Locale;

/**
 * The measured resource usage of a deployment; each figure is the mean over the processes of one
 * kind. Rates are per second, CPU time is in milliseconds per second.
 */
enum Quantity {
  PROXY_CPU_MS_PER_S,
  CONTROLLER_CPU_MS_PER_S,
  MEMBER_CPU_MS_PER_S,
  PLATFORM_CPU_MS_PER_S,
  PROXY_RESIDENT_MB,
  CONTROLLER_RESIDENT_MB,
  MEMBER_RESIDENT_MB,
  PLATFORM_RESIDENT_MB,
  /** Calls from one proxy to all members. */
  PROXY_MEMBER_CALLS_PER_S,
  PROXY_MEMBER_BYTES_PER_S,
  /** Messages from one proxy to controllers and other proxies. */
  PROXY_PEER_MESSAGES_PER_S,
  PROXY_PEER_BYTES_PER_S,
  CONTROLLER_MEMBER_CALLS_PER_S,
  CONTROLLER_MEMBER_BYTES_PER_S,
  CONTROLLER_PEER_MESSAGES_PER_S,
  CONTROLLER_PEER_BYTES_PER_S,
  CONTROLLER_PLATFORM_CALLS_PER_S,
  CONTROLLER_PLATFORM_BYTES_PER_S,
  /** Replication pulls of one member from its primary; only the stand-in endpoint makes these. */
  MEMBER_PULLS_PER_S,
  MEMBER_PULL_BYTES_PER_S,
  PLATFORM_READS_PER_S,
  PLATFORM_WRITES_PER_S,
  PLATFORM_WATCHES_PER_S;

  /** Returns the name of the quantity in the output. */
  String key() {
    return name().toLowerCase(Locale.ROOT);
  }
}
