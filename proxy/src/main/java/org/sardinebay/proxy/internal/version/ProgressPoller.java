package org.sardinebay.proxy.internal.version;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.proxy.internal.process.ProxyRuntime;

/**
 * Asks one member again and again where it stands: at an interval while all is quiet, and with a
 * waiting question while writes wait to be confirmed.
 *
 * <p>The questions to all members of a database fall on the same ticks, and count as asked at the
 * tick, so that one round of answers proves an age; a proof needs a majority whose questions are
 * not older than the one to the primary.
 */
final class ProgressPoller {
  private static final long BUSY_INTERVAL_MILLIS = 50;
  private static final long QUIET_INTERVAL_MILLIS = 150;

  /** A member that answers at once, such as one out of sync, is not asked without a pause. */
  private static final long AWAITING_INTERVAL_MILLIS = 4;

  private static final long WAIT_MILLIS = 60;
  private static final long ANSWER_TIMEOUT_MILLIS = 300;
  private static final long ASKED_AT_GRAIN_MILLIS = 10;

  private final ProxyRuntime runtime;
  private final DatabaseContext shard;
  private final Address address;

  private ScheduledFuture<?> pending;
  private boolean asking;
  private boolean stopped;
  private long receivedIndex;

  ProgressPoller(ProxyRuntime runtime, DatabaseContext shard, Address address) {
    this.runtime = runtime;
    this.shard = shard;
    this.address = address;
  }

  /** Asks at once unless a question is on its way. */
  synchronized void poll() {
    if (stopped || asking) {
      return;
    }
    if (pending != null) {
      pending.cancel(false);
    }
    asking = true;
    long now = runtime.clock().millis();
    long askedAt = now - now % ASKED_AT_GRAIN_MILLIS;
    long waitMillis = shard.awaitingConfirmations() ? WAIT_MILLIS : 0;
    EndpointCall call = new EndpointCall.Progress(shard.term(), receivedIndex, waitMillis);
    var unused =
        runtime
            .endpoints()
            .call(address, call, waitMillis + ANSWER_TIMEOUT_MILLIS)
            .thenAccept(reply -> onReply(reply, askedAt));
  }

  synchronized void stop() {
    stopped = true;
    if (pending != null) {
      pending.cancel(false);
    }
  }

  private void onReply(EndpointReply reply, long askedAt) {
    if (reply instanceof EndpointReply.Standing standing) {
      shard.observe(standing, askedAt);
    }
    schedule(reply);
  }

  private synchronized void schedule(EndpointReply reply) {
    asking = false;
    if (stopped) {
      return;
    }
    long interval = shard.busy() ? BUSY_INTERVAL_MILLIS : QUIET_INTERVAL_MILLIS;
    if (reply instanceof EndpointReply.Standing standing) {
      receivedIndex = standing.received().index();
      interval = shard.awaitingConfirmations() ? AWAITING_INTERVAL_MILLIS : interval;
    }
    long delay = interval - runtime.clock().millis() % interval;
    pending = runtime.timer().schedule(this::poll, delay, TimeUnit.MILLISECONDS);
  }
}
