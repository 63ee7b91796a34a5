package org.sardinebay.net.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class BoundedAppenderTest {
  private final CountDownLatch released = new CountDownLatch(1);
  private final LoggerContext context = new LoggerContext();
  private final BoundedAppender bounded = new BoundedAppender(Set.of("sample"));
  private Logger logger;

  /** An appender that blocks until it is released. */
  private final class BlockingAppender extends AppenderBase<ILoggingEvent> {
    @Override
    protected void append(ILoggingEvent event) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @BeforeEach
  void startWithBlockingAppender() {
    context.setMDCAdapter(new LogbackMDCAdapter());
    BlockingAppender blocking = new BlockingAppender();
    blocking.setContext(context);
    blocking.start();
    bounded.setContext(context);
    bounded.addAppender(blocking);
    bounded.start();
    logger = context.getLogger("test");
    logger.setLevel(Level.INFO);
    logger.addAppender(bounded);
  }

  @AfterEach
  void release() {
    released.countDown();
    bounded.stop();
  }

  @Test
  void should_drop_and_count_events_instead_of_blocking_when_the_queue_is_full() {
    int lines = 4 * BoundedAppender.QUEUE_LINES;
    for (int i = 0; i < lines; i++) {
      logger.info("failure");
    }

    int maxBuffered = 2 * BoundedAppender.QUEUE_LINES + 1;
    assertThat(bounded.dropped()).isGreaterThanOrEqualTo(lines - maxBuffered);
  }

  @Test
  void should_drop_low_priority_events_before_the_queue_is_full() {
    while (bounded.getNumberOfElementsInQueue() < BoundedAppender.QUEUE_LINES * 7 / 8) {
      logger.info("failure");
    }
    logger.info("sample");
    assertThat(bounded.dropped()).isEqualTo(1);

    logger.info("failure");
    assertThat(bounded.dropped()).isEqualTo(1);
  }
}
