package org.sardinebay.gateway.internal.process;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import java.util.Set;
import org.sardinebay.net.log.BoundedAppender;
import org.sardinebay.net.log.KeyValueLayout;
import org.slf4j.LoggerFactory;

/**
 * The gateway's logging, configured in code, because reading a configuration file would take a
 * third of the startup time.
 */
final class GatewayLogging {
  private static final String APPENDER = "bounded";

  /** Events that are dropped first: samples, and changes that the next event supersedes. */
  private static final Set<String> LOW_PRIORITY_EVENTS = Set.of("statement_done", "config_applied");

  private GatewayLogging() {}

  /** Adds the gateway's appender and levels to a context without any. */
  static void configure(LoggerContext context) {
    KeyValueLayout layout = new KeyValueLayout();
    layout.setContext(context);
    layout.start();
    LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
    encoder.setContext(context);
    encoder.setLayout(layout);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    BoundedAppender bounded = new BoundedAppender(LOW_PRIORITY_EVENTS);
    bounded.setName(APPENDER);
    bounded.setContext(context);
    bounded.addAppender(console);
    bounded.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getProperty("sardinebay.log.level"), Level.INFO));
    root.addAppender(bounded);
    context.getLogger("io.activej").setLevel(Level.ERROR);
    context.getLogger("io.netty").setLevel(Level.ERROR);
  }

  /**
   * Returns the number of log lines that this process had to drop.
   *
   * @return the number since the start; 0 if another logging configuration is active
   */
  static long droppedLines() {
    return LoggerFactory.getILoggerFactory() instanceof LoggerContext context
            && context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).getAppender(APPENDER)
                instanceof BoundedAppender bounded
        ? bounded.dropped()
        : 0;
  }
}
