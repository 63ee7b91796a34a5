package org.sardinebay.internal.version;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides who may order promotions: the holder of a record in the platform's store. A holder acts
 * only for a short while after it renewed the record; another host takes the record over only after
 * it has seen it unchanged for longer than that.
 *
 * <pre>{@code
 * claim.onRecord(record, now);
 * if (claim.mayWrite(now)) { write claim.next() at claim.version() }
 * claim.onWritten(written, askedAt);
 * if (claim.holds(now)) { order }
 * }</pre>
 */
public final class DutyClaim {
  /** How long a holder may act after it asked for the renewal, in milliseconds. */
  public static final long RIGHT_MILLIS = 1_500;

  /**
   * How long another host sees the record unchanged before it takes it over, in milliseconds: the
   * right, and as much again as clocks and the answer may take.
   */
  public static final long TAKEOVER_MILLIS = 2_000;

  /**
   * The record.
   *
   * @param holder the host that holds the duty
   * @param incarnation the start of the holder's process
   * @param token the fencing token; grows whenever the holder changes
   * @param renewals grows with each renewal
   */
  public record Holding(String holder, String incarnation, long token, long renewals) {}

  private final String self;
  private final String incarnation;
  private Optional<Holding> seen = Optional.empty();
  private boolean known;
  private long version;
  private long unchangedSince;
  private OptionalLong heldUntil = OptionalLong.empty();

  /**
   * A claim that knows nothing of the record.
   *
   * @param self this host
   * @param incarnation the start of this process
   */
  public DutyClaim(String self, String incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Takes over the record as it was read.
   *
   * @param holding the record, empty if there is none
   * @param readVersion its version, 0 if there is none
   * @param now the time
   */
  public void onRecord(Optional<Holding> holding, long readVersion, long now) {
    if (!known || readVersion != version) {
      unchangedSince = now;
    }
    known = true;
    seen = holding;
    version = readVersion;
    if (!mine()) {
      heldUntil = OptionalLong.empty();
    }
  }

  /**
   * Whether the record was read.
   *
   * @return false before the first reading
   */
  public boolean known() {
    return known;
  }

  private boolean mine() {
    return seen.filter(h -> h.holder().equals(self) && h.incarnation().equals(incarnation))
        .isPresent();
  }

  /**
   * Whether this host may write the record now: it holds it, nobody does, or the holder has not
   * renewed it for long enough.
   *
   * @param now the time
   * @return true if it may
   */
  public boolean mayWrite(long now) {
    return known && (mine() || seen.isEmpty() || now - unchangedSince >= TAKEOVER_MILLIS);
  }

  /**
   * What to write.
   *
   * @return the next record
   */
  public Holding next() {
    long token = seen.map(Holding::token).orElse(0L) + (mine() ? 0 : 1);
    long renewals = seen.map(Holding::renewals).orElse(0L) + 1;
    return new Holding(self, incarnation, token, renewals);
  }

  /**
   * The version that the record must have for the write.
   *
   * @return the version, 0 if there is no record
   */
  public long version() {
    return version;
  }

  /**
   * Takes over a write that succeeded.
   *
   * @param written the record
   * @param newVersion its version
   * @param askedAt when the write was sent
   */
  public void onWritten(Holding written, long newVersion, long askedAt) {
    known = true;
    seen = Optional.of(written);
    version = newVersion;
    unchangedSince = askedAt;
    heldUntil = OptionalLong.of(askedAt + RIGHT_MILLIS);
  }

  /** Forgets the record and gives the right up: a write was refused, so somebody else wrote. */
  public void forget() {
    known = false;
    heldUntil = OptionalLong.empty();
  }

  /**
   * Notes that a write got no answer: the record has to be read again. A right from an earlier
   * write lasts on: nobody else takes over before it has ended.
   */
  public void onUnanswered() {
    known = false;
  }

  /**
   * How long this host may still act.
   *
   * @param now the time
   * @return milliseconds, 0 if it may not
   */
  public long rightMillis(long now) {
    return heldUntil.isPresent() ? Math.max(0, heldUntil.getAsLong() - now) : 0;
  }

  /**
   * The token of this host's holding.
   *
   * @return the token
   */
  public long token() {
    return seen.map(Holding::token).orElse(0L);
  }

  /**
   * The holder as the record names it.
   *
   * @return the host, empty if nobody holds the duty
   */
  public Optional<String> holder() {
    return seen.map(Holding::holder);
  }
}
