package org.sardinebay.internal.version;

import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.platform.ObjectVersion;

/**
 * Lease on the right to order promotions, kept as a record in the platform's store. The holder may
 * act only for a short time after it has renewed the record; another host takes the record over
 * only after it has seen it unchanged for longer than that.
 *
 * <pre>{@code
 * claim.onRecord(record, now);
 * if (claim.mayAcquire(now)) { write claim.next() at claim.version() }
 * claim.onWritten(written, newVersion, sentAt);
 * if (claim.remainingMillis(now) > 0) { order }
 * }</pre>
 *
 * <p>The store may come back from an older copy and has then forgotten leases. So in a new era no
 * host acquires the lease until all leases of earlier eras have expired, and fencing tokens are
 * taken from versions, which rise across eras, and not from the record alone.
 */
public final class PromotionLeaseClaim implements DriverLease {
  /** How long the holder may act after it sent the renewal, in milliseconds. */
  public static final long LEASE_MILLIS = 1_500;

  /**
   * How long another host must see the record unchanged before it takes it over, in milliseconds:
   * the duration of the lease, plus a margin for clock drift and the delay of the reply.
   */
  public static final long TAKEOVER_MILLIS = 2_000;

  /**
   * The content of the record.
   *
   * @param holder the host that holds the lease
   * @param incarnation identifies the run of the holder's process
   * @param token the fencing token; increases whenever the holder changes
   * @param renewals increases with each renewal
   */
  public record LeaseRecord(String holder, String incarnation, long token, long renewals) {}

  private final String self;
  private final String incarnation;
  private final StoreEra era;
  private Optional<LeaseRecord> lastRecord = Optional.empty();
  private boolean known;
  private long version;
  private long readEra;
  private long unchangedSince;
  private OptionalLong leaseUntil = OptionalLong.empty();

  /**
   * Creates a claim that has not read the record yet.
   *
   * @param self this host
   * @param incarnation identifies the run of this process
   * @param era the store's era
   */
  public PromotionLeaseClaim(String self, String incarnation, StoreEra era) {
    this.self = self;
    this.incarnation = incarnation;
    this.era = era;
  }

  /**
   * Applies the record as read from the store.
   *
   * @param leaseRecord the record, empty if there is none
   * @param readVersion its version, 0 if there is none
   * @param now the current time in milliseconds
   */
  public void onRecord(Optional<LeaseRecord> leaseRecord, long readVersion, long now) {
    if (!known || readVersion != version || readEra != era.current()) {
      unchangedSince = now;
    }
    known = true;
    readEra = era.current();
    lastRecord = leaseRecord;
    version = readVersion;
    if (!heldBySelf()) {
      leaseUntil = OptionalLong.empty();
    }
  }

  /**
   * Returns whether the current record is known.
   *
   * @return false before the first read, and after a write that was refused or got no reply
   */
  public boolean known() {
    return known;
  }

  private boolean heldBySelf() {
    return lastRecord
        .filter(h -> h.holder().equals(self) && h.incarnation().equals(incarnation))
        .isPresent();
  }

  /**
   * Returns whether this host may write the record now: this host holds it, nobody does, or the
   * holder has not renewed it for {@link #TAKEOVER_MILLIS}. Not before the store's era has been
   * seen for as long, as the store may have forgotten a lease of the era before.
   *
   * @param now the current time in milliseconds
   * @return true if the host may write
   */
  public boolean mayAcquire(long now) {
    return known
        && readEra == era.current()
        && era.seenFor(TAKEOVER_MILLIS, now)
        && (heldBySelf() || lastRecord.isEmpty() || now - unchangedSince >= TAKEOVER_MILLIS);
  }

  /**
   * Returns the record to write.
   *
   * @return the next record
   */
  public LeaseRecord next() {
    long lastToken = token();
    boolean keepsToken = heldBySelf() && ObjectVersion.era(lastToken) == era.current();
    long aboveVersions = Math.max(version, ObjectVersion.of(era.current(), 0)) + 1;
    long token = keepsToken ? lastToken : Math.max(lastToken + 1, aboveVersions);
    long renewals = lastRecord.map(LeaseRecord::renewals).orElse(0L) + 1;
    return new LeaseRecord(self, incarnation, token, renewals);
  }

  /**
   * Returns the version that the stored record must have for the write.
   *
   * @return the version, 0 if there is no record
   */
  public long version() {
    return version;
  }

  /**
   * Applies a successful write.
   *
   * @param written the record
   * @param newVersion its version
   * @param sentAt when the write was sent, in milliseconds
   * @return whether this host holds the lease. It does not if the store came back from an older
   *     copy in the meantime, where the expected version may be that of another record
   */
  public boolean onWritten(LeaseRecord written, long newVersion, long sentAt) {
    if (ObjectVersion.era(newVersion) != readEra) {
      invalidate();
      return false;
    }
    known = true;
    lastRecord = Optional.of(written);
    version = newVersion;
    unchangedSince = sentAt;
    leaseUntil = OptionalLong.of(sentAt + LEASE_MILLIS);
    return true;
  }

  /**
   * Marks the record as unknown and ends the lease after a refused write: another host has written
   * the record.
   */
  public void invalidate() {
    known = false;
    leaseUntil = OptionalLong.empty();
  }

  /**
   * Records that a write got no reply, so the record has to be read again. A lease from an earlier
   * write stays valid: no other host takes over before it expires.
   */
  public void onUnanswered() {
    known = false;
  }

  @Override
  public long remainingMillis(long now) {
    return leaseUntil.isPresent() ? Math.max(0, leaseUntil.getAsLong() - now) : 0;
  }

  /**
   * Returns the fencing token of the last record read or written.
   *
   * @return the token, 0 if there was no record
   */
  @Override
  public long token() {
    return lastRecord.map(LeaseRecord::token).orElse(0L);
  }

  /**
   * Returns the holder named in the last record read or written.
   *
   * @return the host, or empty if there was no record
   */
  public Optional<String> holder() {
    return lastRecord.map(LeaseRecord::holder);
  }
}
