package org.sardinebay.gateway.internal.version;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.Clock;
import org.sardinebay.internal.version.AdaptiveTimeout;
import org.sardinebay.internal.version.PromotionLeaseClaim;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.ObjectVersion;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds or observes the lease that permits one host to order promotions, by reading and writing its
 * record in the store. At most one call is in progress.
 *
 * <pre>{@code
 * if (lease.ensureHeldFor(millisNeeded)) { order }
 * }</pre>
 */
final class PromotionLease {
  private static final Logger LOG = LoggerFactory.getLogger(PromotionLease.class);
  private static final ObjectKey KEY = new ObjectKey("sardinebay-duties", "promotion");

  /** Delay between two reads of a record that another host holds, in milliseconds. */
  private static final long READ_INTERVAL_MILLIS = 600;

  /** Delay after a failed call, in milliseconds. */
  private static final long RETRY_MILLIS = 200;

  /**
   * Delay after a call without an answer, in milliseconds; short because its timeout has already
   * passed.
   */
  private static final long UNANSWERED_RETRY_MILLIS = 20;

  private final PlatformClient store;
  private final PromotionLeaseClaim claim;
  private final Eventloop loop;
  private final Clock clock;
  private final AdaptiveTimeout callTimeout = new AdaptiveTimeout();
  private boolean calling;
  private long nextReadAt = Long.MIN_VALUE;

  PromotionLease(PlatformClient store, PromotionLeaseClaim claim, Eventloop loop, Clock clock) {
    this.store = store;
    this.claim = claim;
    this.loop = loop;
    this.clock = clock;
  }

  PromotionLeaseClaim claim() {
    return claim;
  }

  /**
   * Whether the lease is held for at least the given time; if not, starts a call to acquire or
   * renew it.
   */
  boolean ensureHeldFor(long millisNeeded) {
    long now = clock.millis();
    if (claim.remainingMillis(now) >= millisNeeded) {
      return true;
    }
    if (calling) {
      return false;
    }
    if (claim.mayAcquire(now)) {
      write();
    } else if (now >= nextReadAt) {
      read();
    }
    return false;
  }

  /**
   * Reads the record without writing it. Whether the holder still renews the lease shows only in
   * several reads over time, so this host starts reading before it needs the lease.
   */
  void observe() {
    long now = clock.millis();
    if (!calling && now >= nextReadAt && claim.remainingMillis(now) == 0) {
      read();
    }
  }

  private void read() {
    calling = true;
    CompletableFuture<Void> unused =
        store
            .read(KEY, callTimeout.timeoutMillis())
            .thenAccept(result -> loop.execute(() -> onRead(result)));
  }

  private void onRead(PlatformResult result) {
    long now = clock.millis();
    calling = false;
    nextReadAt = now + delayAfter(result);
    if (result instanceof PlatformResult.Found found) {
      claim.onRecord(decode(found.object()), found.object().version(), now);
      nextReadAt = now + READ_INTERVAL_MILLIS;
    } else if (result instanceof PlatformResult.Absent) {
      claim.onRecord(Optional.empty(), 0, now);
      nextReadAt = now + READ_INTERVAL_MILLIS;
    } else {
      log("duty_record_unread", result);
    }
  }

  private void write() {
    calling = true;
    PromotionLeaseClaim.LeaseRecord next = claim.next();
    long sentAt = clock.millis();
    CompletableFuture<Void> unused =
        store
            .write(KEY, claim.version(), encode(next), callTimeout.timeoutMillis())
            .thenAccept(result -> loop.execute(() -> onWritten(next, sentAt, result)));
  }

  private void onWritten(
      PromotionLeaseClaim.LeaseRecord written, long sentAt, PlatformResult result) {
    calling = false;
    nextReadAt = clock.millis();
    if (result instanceof PlatformResult.Found found) {
      callTimeout.onReply();
      if (!claim.onWritten(written, found.object().version(), sentAt)) {
        log("duty_not_held", result);
        return;
      }
      LOG.atInfo()
          .setMessage("duty_held")
          .addKeyValue("token", written.token())
          .addKeyValue("renewals", written.renewals())
          .addKeyValue("revision", ObjectVersion.text(found.object().version()))
          .log();
      return;
    }
    if (gotNoAnswer(result)) {
      claim.onUnanswered();
    } else {
      claim.invalidate();
    }
    nextReadAt += delayAfter(result);
    log("duty_not_held", result);
  }

  private long delayAfter(PlatformResult result) {
    if (gotNoAnswer(result)) {
      callTimeout.timedOut();
      return UNANSWERED_RETRY_MILLIS;
    }
    callTimeout.onReply();
    return RETRY_MILLIS;
  }

  private static boolean gotNoAnswer(PlatformResult result) {
    return result instanceof PlatformResult.Failed failed
        && failed.failure() == PlatformFailure.NO_ANSWER;
  }

  private static void log(String event, PlatformResult result) {
    LOG.atInfo().setMessage(event).addKeyValue("result", result).log();
  }

  private static ObjectNode encode(PromotionLeaseClaim.LeaseRecord leaseRecord) {
    return Json.newObject()
        .put("holder", leaseRecord.holder())
        .put("incarnation", leaseRecord.incarnation())
        .put("token", leaseRecord.token())
        .put("renewals", leaseRecord.renewals());
  }

  private static Optional<PromotionLeaseClaim.LeaseRecord> decode(PlatformObject object) {
    ObjectNode body = object.body();
    return Optional.of(
        new PromotionLeaseClaim.LeaseRecord(
            body.path("holder").asText(""),
            body.path("incarnation").asText(""),
            body.path("token").asLong(0),
            body.path("renewals").asLong(0)));
  }
}
