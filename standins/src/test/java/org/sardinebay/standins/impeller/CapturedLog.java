package org.sardinebay.standins.impeller;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinebay.net.log.KeyValueLayout;
import org.sardinebay.net.log.LogLine;
import org.slf4j.LoggerFactory;

/** Captures the log lines of this process in the gateway's format until it is closed. */
final class CapturedLog extends AppenderBase<ILoggingEvent> implements AutoCloseable {
  private final KeyValueLayout layout = new KeyValueLayout();
  private final List<String> lines = new CopyOnWriteArrayList<>();

  static CapturedLog open() {
    CapturedLog log = new CapturedLog();
    log.setContext((LoggerContext) LoggerFactory.getILoggerFactory());
    log.start();
    root().addAppender(log);
    return log;
  }

  private static Logger root() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    return context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
  }

  @Override
  protected void append(ILoggingEvent event) {
    lines.add(layout.doLayout(event));
  }

  List<String> lines() {
    return lines;
  }

  List<LogLine> events(String name) {
    return lines.stream()
        .flatMap(text -> LogLine.parse(text).stream())
        .filter(line -> line.event().equals(name))
        .toList();
  }

  @Override
  public void close() {
    root().detachAppender(this);
  }
}
