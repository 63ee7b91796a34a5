package org.sardinebay.gateway.internal.process;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Sets the gateway's logging up in code: reading a configuration file took a third of its start.
 * Active only where the system property {@code sardinebay.logging} is {@code gateway}, so that
 * other programs with this class on their path keep their own.
 */
public final class GatewayLogging extends ContextAwareBase implements Configurator {
  private static final String PATTERN =
      "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z',UTC} level=%level event=%msg %kvp{NONE}%n";

  /** Lines that wait to be written: some seconds of the busiest logging. */
  private static final int QUEUE_LINES = 2_048;

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (!"gateway".equals(System.getProperty("sardinebay.logging"))) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    AsyncAppender async = new AsyncAppender();
    async.setContext(context);
    async.setQueueSize(QUEUE_LINES);
    async.setDiscardingThreshold(0);
    async.setNeverBlock(true);
    async.addAppender(console);
    async.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getProperty("sardinebay.log.level"), Level.INFO));
    root.addAppender(async);
    context.getLogger("io.activej").setLevel(Level.ERROR);
    context.getLogger("io.netty").setLevel(Level.ERROR);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
