package org.sardinebay.gateway.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.sardinebay.Clock;

class GatewayLoopTest {
  private static final long DAY_MILLIS = 86_400_000;

  @Test
  void should_not_depend_on_the_time_of_day() {
    AtomicLong monotonic = new AtomicLong(DAY_MILLIS);
    Eventloop loop = GatewayProcess.loop(new LoopClock(monotonic::get, monotonic::get));

    assertThat(loop.currentTimeMillis()).isEqualTo(DAY_MILLIS);
  }

  /** Guards against an unexpected exception in one task that ends the service of the host. */
  @Test
  void should_go_on_after_tasks_timers_and_callbacks_that_fail() throws Exception {
    Eventloop loop = GatewayProcess.loop(new LoopClock(Clock.system(), Clock.system()));
    loop.keepAlive(true);
    Thread thread = new Thread(loop, "gateway-loop-test");
    thread.setDaemon(true);
    thread.start();
    CountDownLatch afterwards = new CountDownLatch(1);

    loop.execute(GatewayLoopTest::fail);
    loop.execute(() -> loop.delay(1, GatewayLoopTest::fail));
    loop.execute(() -> Promise.complete().async().whenResult(GatewayLoopTest::fail));
    loop.execute(() -> loop.delay(50, afterwards::countDown));

    assertThat(afterwards.await(10, TimeUnit.SECONDS)).isTrue();
    loop.execute(loop::breakEventloop);
  }

  private static void fail() {
    throw new IllegalStateException("unexpected");
  }
}
