package org.sardinebay.standins.platform;

/**
 * How many calls the platform's stand-in has had.
 *
 * @param reads reads taken, those of the host list included
 * @param writes writes and deletions taken
 * @param watches watches taken
 * @param refused calls refused for their rate
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
