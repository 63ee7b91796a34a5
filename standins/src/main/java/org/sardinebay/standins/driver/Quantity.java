package org.sardinebay.standins.driver;

import java.util.Locale;

/** What a deployment of one size uses; that of a role is the mean over its processes. */
enum Quantity {
  PROXY_CPU_MS_PER_S,
  CONTROLLER_CPU_MS_PER_S,
  MEMBER_CPU_MS_PER_S,
  PLATFORM_CPU_MS_PER_S,
  PROXY_RESIDENT_MB,
  CONTROLLER_RESIDENT_MB,
  MEMBER_RESIDENT_MB,
  PLATFORM_RESIDENT_MB,
  /** Calls of one proxy to all members. */
  PROXY_MEMBER_CALLS_PER_S,
  PROXY_MEMBER_BYTES_PER_S,
  /** Messages of one proxy to controllers and proxies. */
  PROXY_PEER_MESSAGES_PER_S,
  PROXY_PEER_BYTES_PER_S,
  CONTROLLER_MEMBER_CALLS_PER_S,
  CONTROLLER_MEMBER_BYTES_PER_S,
  CONTROLLER_PEER_MESSAGES_PER_S,
  CONTROLLER_PEER_BYTES_PER_S,
  CONTROLLER_PLATFORM_CALLS_PER_S,
  CONTROLLER_PLATFORM_BYTES_PER_S,
  /** Pulls of one member from its primary: the stand-in's own. */
  MEMBER_PULLS_PER_S,
  MEMBER_PULL_BYTES_PER_S,
  PLATFORM_READS_PER_S,
  PLATFORM_WRITES_PER_S,
  PLATFORM_WATCHES_PER_S;

  /** Its name in what is printed. */
  String key() {
    return name().toLowerCase(Locale.ROOT);
  }
}
