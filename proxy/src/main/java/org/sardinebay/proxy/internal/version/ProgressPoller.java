package org.sardinebay.proxy.internal.version;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.proxy.internal.process.ProxyRuntime;

/**
 * Polls one member for its replication progress: at an interval while no request waits for a
 * confirmation, and by long polling while one does.
 *
 * <p>The polls of all members of a database are aligned to the same ticks, and the time of a poll
 * is the time of its tick, so that one round of replies proves the age of a replica's data. The
 * proof needs a majority of members whose polls are not older than the poll of the primary.
 */
final class ProgressPoller {
  private static final long BUSY_INTERVAL_MILLIS = 50;
  private static final long IDLE_INTERVAL_MILLIS = 150;

  /**
   * Keeps the poller from polling in a busy loop when a member replies to long polls at once, as
   * one that is out of sync does.
   */
  private static final long MIN_LONG_POLL_INTERVAL_MILLIS = 4;

  private static final long LONG_POLL_MILLIS = 60;
  private static final long REPLY_TIMEOUT_MILLIS = 300;
  private static final long POLL_TIME_RESOLUTION_MILLIS = 10;

  private final ProxyRuntime runtime;
  private final DatabaseContext context;
  private final Address address;

  private ScheduledFuture<?> nextPoll;
  private boolean inFlight;
  private boolean stopped;
  private long receivedIndex;

  ProgressPoller(ProxyRuntime runtime, DatabaseContext context, Address address) {
    this.runtime = runtime;
    this.context = context;
    this.address = address;
  }

  /** Polls at once unless a poll is in flight. */
  synchronized void poll() {
    if (stopped || inFlight) {
      return;
    }
    if (nextPoll != null) {
      nextPoll.cancel(false);
    }
    inFlight = true;
    long now = runtime.clock().millis();
    long polledAt = now - now % POLL_TIME_RESOLUTION_MILLIS;
    long waitMillis = context.awaitingConfirmations() ? LONG_POLL_MILLIS : 0;
    EndpointCall call = new EndpointCall.Progress(context.term(), receivedIndex, waitMillis);
    var unused =
        runtime
            .endpoints()
            .call(address, call, waitMillis + REPLY_TIMEOUT_MILLIS)
            .thenAccept(reply -> onReply(reply, polledAt));
  }

  synchronized void stop() {
    stopped = true;
    if (nextPoll != null) {
      nextPoll.cancel(false);
    }
  }

  private void onReply(EndpointReply reply, long polledAt) {
    if (reply instanceof EndpointReply.Standing standing) {
      context.observe(standing, polledAt);
    }
    schedule(reply);
  }

  private synchronized void schedule(EndpointReply reply) {
    inFlight = false;
    if (stopped) {
      return;
    }
    long interval = context.hasRecentRequest() ? BUSY_INTERVAL_MILLIS : IDLE_INTERVAL_MILLIS;
    if (reply instanceof EndpointReply.Standing standing) {
      receivedIndex = standing.received().index();
      interval = context.awaitingConfirmations() ? MIN_LONG_POLL_INTERVAL_MILLIS : interval;
    }
    long delay = interval - runtime.clock().millis() % interval;
    nextPoll = runtime.timer().schedule(this::poll, delay, TimeUnit.MILLISECONDS);
  }
}
