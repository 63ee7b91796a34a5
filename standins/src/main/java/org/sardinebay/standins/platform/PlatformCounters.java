package org.sardinebay.standins.platform;

/**
 * Numbers of calls that the platform stand-in has received.
 *
 * @param reads accepted reads, including reads of the host list
 * @param writes accepted writes and deletions
 * @param watches accepted watches
 * @param refused calls refused because of the rate limit
 */
public record PlatformCounters(long reads, long writes, long watches, long refused) {
  static final PlatformCounters ZERO = new PlatformCounters(0, 0, 0, 0);

  PlatformCounters withRead() {
    return new PlatformCounters(reads + 1, writes, watches, refused);
  }

  PlatformCounters withWrite() {
    return new PlatformCounters(reads, writes + 1, watches, refused);
  }

  PlatformCounters withWatch() {
    return new PlatformCounters(reads, writes, watches + 1, refused);
  }

  PlatformCounters withRefusal() {
    return new PlatformCounters(reads, writes, watches, refused + 1);
  }
}
