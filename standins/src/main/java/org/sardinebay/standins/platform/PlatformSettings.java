package org.sardinebay.standins.platform;

import java.util.List;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.record.FieldReader;

/**
 * Settings of the platform stand-in.
 *
 * @param listen the address to listen on
 * @param readsPerSecond the maximum rate of reads and watches in calls per second
 * @param writesPerSecond the maximum rate of writes and deletions in calls per second
 * @param hostListLagMillis the delay in milliseconds before the host list shows a change
 * @param hosts the hosts that are live at the start
 */
public record PlatformSettings(
    Address listen,
    int readsPerSecond,
    int writesPerSecond,
    long hostListLagMillis,
    List<HostEntry> hosts) {
  private static final int DEFAULT_READS_PER_SECOND = 2_000;
  private static final int DEFAULT_WRITES_PER_SECOND = 400;
  private static final long DEFAULT_HOST_LIST_LAG_MILLIS = 1_000;
  private static final int MAX_RATE = 1_000_000;
  private static final long MAX_LAG_MILLIS = 600_000;

  /**
   * Returns settings with the default rates and lag.
   *
   * @param listen the address to listen on
   * @param hosts the hosts that are live at the start
   * @return the settings
   */
  public static PlatformSettings of(Address listen, List<HostEntry> hosts) {
    return new PlatformSettings(
        listen,
        DEFAULT_READS_PER_SECOND,
        DEFAULT_WRITES_PER_SECOND,
        DEFAULT_HOST_LIST_LAG_MILLIS,
        List.copyOf(hosts));
  }

  static PlatformSettings read(FieldReader reader) {
    return new PlatformSettings(
        reader.address("listen"),
        (int) reader.number("readsPerSecond", 1, MAX_RATE, DEFAULT_READS_PER_SECOND),
        (int) reader.number("writesPerSecond", 1, MAX_RATE, DEFAULT_WRITES_PER_SECOND),
        reader.number("hostListLagMillis", 0, MAX_LAG_MILLIS, DEFAULT_HOST_LIST_LAG_MILLIS),
        reader.objects("hosts", 0).stream().map(PlatformSettings::host).toList());
  }

  private static HostEntry host(FieldReader reader) {
    FailureDomain failureDomain = new FailureDomain(reader.text("failureDomain"));
    return new HostEntry(reader.text("name"), failureDomain, false);
  }
}
