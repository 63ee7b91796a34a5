package org.sardinebay.net.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.LayoutBase;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import org.slf4j.event.KeyValuePair;

/** Writes each event as one line of key=value pairs, a failure with its first frames included. */
public final class KeyValueLayout extends LayoutBase<ILoggingEvent> {
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

  /** Frames of a stack trace: enough to find the place, in a line that stays readable. */
  private static final int FRAMES = 6;

  private static final int USUAL_LENGTH = 200;

  @Override
  public String doLayout(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(USUAL_LENGTH);
    line.append("time=").append(TIME.format(Instant.ofEpochMilli(event.getTimeStamp())));
    LogLine.append(line, "level", event.getLevel().toString());
    LogLine.append(line, "event", event.getFormattedMessage());
    if (event.getKeyValuePairs() != null) {
      for (KeyValuePair pair : event.getKeyValuePairs()) {
        LogLine.append(line, pair.key, String.valueOf(pair.value));
      }
    }
    if (event.getThrowableProxy() != null) {
      appendFailure(line, event.getThrowableProxy());
    }
    return line.append('\n').toString();
  }

  private static void appendFailure(StringBuilder line, IThrowableProxy failure) {
    LogLine.append(line, "exception", failure.getClassName() + ": " + failure.getMessage());
    StringBuilder frames = new StringBuilder();
    StackTraceElementProxy[] trace = failure.getStackTraceElementProxyArray();
    for (int i = 0; i < Math.min(FRAMES, trace.length); i++) {
      frames.append(i == 0 ? "" : " < ").append(trace[i].getStackTraceElement());
    }
    LogLine.append(line, "at", frames.toString());
  }
}
