package org.sardinebay.gateway.internal.process;

import com.sun.jna.FunctionMapper;
import com.sun.jna.Library;
import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.NativeLibrary;
import com.sun.jna.Pointer;
import java.util.Map;
import org.sardinebay.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A clock for hosts that may be suspended. It includes the time of a suspension, which the JVM's
 * monotonic clock does not; leases depend on this.
 */
final class HostClock implements Clock {
  private static final Logger LOG = LoggerFactory.getLogger(HostClock.class);

  /** The C library's id of the clock that includes suspensions. */
  private static final int CLOCK_BOOTTIME = 7;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** Size of a {@code timespec}: seconds and nanoseconds, eight bytes each. */
  private static final long TIMESPEC_BYTES = 16;

  private static final long NANOS_OFFSET_BYTES = 8;

  private final Memory timespec = new Memory(TIMESPEC_BYTES);
  private final long timespecAddress = Pointer.nativeValue(timespec);

  private HostClock() {}

  /**
   * Returns a clock that includes suspensions or, if the C library's clock is not available, the
   * JVM's monotonic clock.
   *
   * @return the clock
   */
  static Clock create() {
    try {
      HostClock clock = new HostClock();
      if (clock.millis() > 0) {
        return clock;
      }
      LOG.atWarn().setMessage("boot_clock_missing").addKeyValue("cause", "refused").log();
    } catch (UnsatisfiedLinkError | NoClassDefFoundError | ExceptionInInitializerError e) {
      LOG.atWarn().setMessage("boot_clock_missing").addKeyValue("cause", e.getMessage()).log();
    }
    return Clock.system();
  }

  @Override
  public synchronized long millis() {
    if (CLibrary.clockGettime(CLOCK_BOOTTIME, timespecAddress) != 0) {
      return 0;
    }
    return timespec.getLong(0) * MILLIS_PER_SECOND
        + timespec.getLong(NANOS_OFFSET_BYTES) / NANOS_PER_MILLI;
  }

  /**
   * The clock's function of the C library, bound directly: the clock is read several times for each
   * statement, and a call by reflection takes many times as long.
   */
  private static final class CLibrary {
    /** The full name, because a short name is searched for in all library paths of the system. */
    private static final String NAME = "libc.so.6";

    private static final FunctionMapper CLOCK_GETTIME = (library, method) -> "clock_gettime";

    static {
      Native.register(
          CLibrary.class,
          NativeLibrary.getInstance(NAME, Map.of(Library.OPTION_FUNCTION_MAPPER, CLOCK_GETTIME)));
    }

    private CLibrary() {}

    static native int clockGettime(int clock, long timespecAddress);
  }
}
