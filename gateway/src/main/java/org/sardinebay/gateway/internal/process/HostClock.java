package org.sardinebay.gateway.internal.process;

import com.sun.jna.Library;
import com.sun.jna.Native;
import com.sun.jna.NativeLong;
import com.sun.jna.Structure;
import org.sardinebay.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clock of a host that may be suspended: counts the time of a suspension, which the JVM's
 * monotonic clock does not. Leases depend on it.
 */
final class HostClock implements Clock {
  private static final Logger LOG = LoggerFactory.getLogger(HostClock.class);
  private static final int CLOCK_BOOTTIME = 7;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** The C library's clock. */
  public interface CLibrary extends Library {
    /**
     * Reads a clock.
     *
     * @param clock which
     * @param time takes the reading
     * @return 0 on success
     */
    @SuppressWarnings("checkstyle:MethodName")
    int clock_gettime(int clock, TimeSpec time);
  }

  /** Seconds and nanoseconds, as the C library lays them out. */
  @Structure.FieldOrder({"seconds", "nanos"})
  public static final class TimeSpec extends Structure {
    /** Whole seconds. */
    @SuppressWarnings("checkstyle:VisibilityModifier")
    public NativeLong seconds = new NativeLong();

    /** Nanoseconds of the second. */
    @SuppressWarnings("checkstyle:VisibilityModifier")
    public NativeLong nanos = new NativeLong();
  }

  private final CLibrary library;
  private final TimeSpec time = new TimeSpec();

  private HostClock(CLibrary library) {
    this.library = library;
  }

  /**
   * The best clock to be had: without the C library's, one that does not see suspensions.
   *
   * @return a clock
   */
  static Clock create() {
    try {
      HostClock clock = new HostClock(Native.load("c", CLibrary.class));
      if (clock.read() > 0) {
        return clock;
      }
      LOG.atWarn().setMessage("boot_clock_missing").addKeyValue("cause", "refused").log();
    } catch (UnsatisfiedLinkError | NoClassDefFoundError e) {
      LOG.atWarn().setMessage("boot_clock_missing").addKeyValue("cause", e.getMessage()).log();
    }
    return Clock.system();
  }

  @Override
  public long millis() {
    return read();
  }

  private synchronized long read() {
    if (library.clock_gettime(CLOCK_BOOTTIME, time) != 0) {
      return 0;
    }
    return time.seconds.longValue() * MILLIS_PER_SECOND + time.nanos.longValue() / NANOS_PER_MILLI;
  }
}
