package org.sardinebay.gateway.internal.version;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.Clock;
import org.sardinebay.internal.version.CallPatience;
import org.sardinebay.internal.version.DutyClaim;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the claim on the promotion duty in step with its record in the store, one call at a time.
 *
 * <pre>{@code
 * if (record.ensureRight(millisNeeded)) { order }
 * }</pre>
 */
final class DutyRecord {
  private static final Logger LOG = LoggerFactory.getLogger(DutyRecord.class);
  private static final ObjectKey KEY = new ObjectKey("sardinebay-duties", "promotion");

  /** The pause between two readings of a record that another host holds, in milliseconds. */
  private static final long READ_INTERVAL_MILLIS = 600;

  /** The pause after a call that failed, in milliseconds. */
  private static final long RETRY_MILLIS = 200;

  /** The pause after a call that got no answer, in milliseconds: its timeout was one already. */
  private static final long UNANSWERED_RETRY_MILLIS = 20;

  private final PlatformClient store;
  private final DutyClaim claim;
  private final Eventloop loop;
  private final Clock clock;
  private final CallPatience patience = new CallPatience();
  private boolean calling;
  private long nextReadAt = Long.MIN_VALUE;

  DutyRecord(PlatformClient store, DutyClaim claim, Eventloop loop, Clock clock) {
    this.store = store;
    this.claim = claim;
    this.loop = loop;
    this.clock = clock;
  }

  DutyClaim claim() {
    return claim;
  }

  /** Whether the right to order lasts long enough; if not, a call is made towards it. */
  boolean ensureRight(long millisNeeded) {
    long now = clock.millis();
    if (claim.rightMillis(now) >= millisNeeded) {
      return true;
    }
    if (calling) {
      return false;
    }
    if (claim.mayWrite(now)) {
      write();
    } else if (now >= nextReadAt) {
      read();
    }
    return false;
  }

  /**
   * Keeps an eye on the record without writing it: whether its holder still renews it is known only
   * after some time.
   */
  void observe() {
    long now = clock.millis();
    if (!calling && now >= nextReadAt && claim.rightMillis(now) == 0) {
      read();
    }
  }

  private void read() {
    calling = true;
    CompletableFuture<Void> unused =
        store
            .read(KEY, patience.timeoutMillis())
            .thenAccept(result -> loop.execute(() -> onRead(result)));
  }

  private void onRead(PlatformResult result) {
    long now = clock.millis();
    calling = false;
    nextReadAt = now + pauseAfter(result);
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
    DutyClaim.Holding next = claim.next();
    long askedAt = clock.millis();
    CompletableFuture<Void> unused =
        store
            .write(KEY, claim.version(), encode(next), patience.timeoutMillis())
            .thenAccept(result -> loop.execute(() -> onWritten(next, askedAt, result)));
  }

  private void onWritten(DutyClaim.Holding written, long askedAt, PlatformResult result) {
    calling = false;
    nextReadAt = clock.millis();
    if (result instanceof PlatformResult.Found found) {
      patience.answered();
      claim.onWritten(written, found.object().version(), askedAt);
      LOG.atInfo()
          .setMessage("duty_held")
          .addKeyValue("token", written.token())
          .addKeyValue("renewals", written.renewals())
          .addKeyValue("revision", found.object().version())
          .log();
      return;
    }
    if (unanswered(result)) {
      claim.onUnanswered();
    } else {
      claim.forget();
    }
    nextReadAt += pauseAfter(result);
    log("duty_not_held", result);
  }

  private long pauseAfter(PlatformResult result) {
    if (unanswered(result)) {
      patience.unanswered();
      return UNANSWERED_RETRY_MILLIS;
    }
    patience.answered();
    return RETRY_MILLIS;
  }

  private static boolean unanswered(PlatformResult result) {
    return result instanceof PlatformResult.Failed failed
        && failed.failure() == PlatformFailure.NO_ANSWER;
  }

  private static void log(String event, PlatformResult result) {
    LOG.atInfo().setMessage(event).addKeyValue("result", result).log();
  }

  private static ObjectNode encode(DutyClaim.Holding holding) {
    return Json.newObject()
        .put("holder", holding.holder())
        .put("incarnation", holding.incarnation())
        .put("token", holding.token())
        .put("renewals", holding.renewals());
  }

  private static Optional<DutyClaim.Holding> decode(PlatformObject object) {
    ObjectNode body = object.body();
    return Optional.of(
        new DutyClaim.Holding(
            body.path("holder").asText(""),
            body.path("incarnation").asText(""),
            body.path("token").asLong(0),
            body.path("renewals").asLong(0)));
  }
}
