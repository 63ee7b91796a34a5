package org.sardinebay.net.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.LayoutBase;
import java.time.LocalDate;
import org.slf4j.event.KeyValuePair;

/** Formats each event as one line of key=value pairs, including the top frames of an exception. */
public final class KeyValueLayout extends LayoutBase<ILoggingEvent> {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long SECONDS_PER_MINUTE = 60;
  private static final long SECONDS_PER_HOUR = 3_600;
  private static final long SECONDS_PER_DAY = 86_400;
  private static final int TWO_DIGITS = 2;
  private static final int THREE_DIGITS = 3;
  private static final int RADIX = 10;

  /** Limits stack traces: enough frames to locate the failure while the line stays readable. */
  private static final int MAX_STACK_FRAMES = 6;

  private static final int INITIAL_CAPACITY = 200;

  @Override
  public String doLayout(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(INITIAL_CAPACITY);
    appendTime(line.append("time="), event.getTimeStamp());
    LogLine.append(line, "level", event.getLevel().toString());
    LogLine.append(line, "event", event.getFormattedMessage());
    if (event.getKeyValuePairs() != null) {
      for (KeyValuePair pair : event.getKeyValuePairs()) {
        LogLine.append(line, pair.key, String.valueOf(pair.value));
      }
    }
    if (event.getThrowableProxy() != null) {
      appendException(line, event.getThrowableProxy());
    }
    return line.append('\n').toString();
  }

  /** Avoids DateTimeFormatter, which would load the JVM's locale data at the first line. */
  private static void appendTime(StringBuilder line, long epochMillis) {
    long seconds = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
    long secondOfDay = Math.floorMod(seconds, SECONDS_PER_DAY);
    line.append(LocalDate.ofEpochDay(Math.floorDiv(seconds, SECONDS_PER_DAY))).append('T');
    appendPadded(line, secondOfDay / SECONDS_PER_HOUR, TWO_DIGITS);
    appendPadded(line.append(':'), secondOfDay % SECONDS_PER_HOUR / SECONDS_PER_MINUTE, TWO_DIGITS);
    appendPadded(line.append(':'), secondOfDay % SECONDS_PER_MINUTE, TWO_DIGITS);
    appendPadded(line.append('.'), Math.floorMod(epochMillis, MILLIS_PER_SECOND), THREE_DIGITS);
    line.append('Z');
  }

  private static void appendPadded(StringBuilder line, long value, int digits) {
    int threshold = 1;
    for (int i = 1; i < digits; i++) {
      threshold *= RADIX;
      if (value < threshold) {
        line.append('0');
      }
    }
    line.append(value);
  }

  private static void appendException(StringBuilder line, IThrowableProxy thrown) {
    LogLine.append(line, "exception", thrown.getClassName() + ": " + thrown.getMessage());
    StringBuilder frames = new StringBuilder();
    StackTraceElementProxy[] trace = thrown.getStackTraceElementProxyArray();
    for (int i = 0; i < Math.min(MAX_STACK_FRAMES, trace.length); i++) {
      frames.append(i == 0 ? "" : " < ").append(trace[i].getStackTraceElement());
    }
    LogLine.append(line, "at", frames.toString());
  }
}
