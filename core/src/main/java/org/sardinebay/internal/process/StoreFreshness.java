package org.sardinebay.internal.process;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.sardinebay.Clock;

/**
 * Tracks as of when this host is known to have all changes of the store: from the store itself, or
 * from another host that says how long ago the store answered it. A host whose knowledge is too old
 * asks the store at once, however long its own watch would still wait, so a change that was
 * confirmed is applied within a bounded time although few hosts of a large fleet watch closely.
 *
 * <pre>{@code
 * freshness.onSourceReply(callSentAt + reply.getStoreAnsweredMillis());
 * if (!freshness.fresh()) {
 *   watch.checkNow();
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class StoreFreshness {
  /**
   * The age from which on a host asks the store itself, in milliseconds. Longer than the interval
   * of answers to hosts that watch closely, and of their replies. With a call to the store, and
   * another one after a first that fails, it is shorter than the time within which a configuration
   * must be applied.
   */
  public static final long MAX_AGE_MILLIS = 3_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Clock clock;
  private final long maxAgeMillis;
  private final AtomicLong answeredAt = new AtomicLong(NEVER);
  private final AtomicLong knownAt;

  /**
   * Creates the state of a host that has just started, which lists all objects anyway.
   *
   * @param clock the clock
   */
  public StoreFreshness(Clock clock) {
    this(clock, MAX_AGE_MILLIS, clock.millis());
  }

  private StoreFreshness(Clock clock, long maxAgeMillis, long knownAt) {
    this.clock = clock;
    this.maxAgeMillis = maxAgeMillis;
    this.knownAt = new AtomicLong(knownAt);
  }

  /**
   * Creates the state of a host that knows nothing of the store yet.
   *
   * @param clock the clock
   * @param maxAgeMillis the age up to which this host's knowledge counts as recent, in milliseconds
   * @return the state
   */
  public static StoreFreshness unknown(Clock clock, long maxAgeMillis) {
    return new StoreFreshness(clock, maxAgeMillis, NEVER);
  }

  /** Records that the store answered this host, and that the answer is applied. */
  public void onStoreAnswer() {
    onStoreAnswer(clock.millis());
  }

  /**
   * Records that the store answered this host, and that the answer is applied.
   *
   * @param asOf a time at which the answer was still to come, by this host's clock
   */
  public void onStoreAnswer(long asOf) {
    answeredAt.accumulateAndGet(asOf, Math::max);
    raise(asOf);
  }

  /**
   * Records that this host has all changes that another one has.
   *
   * @param time when the store answered the other host, by this host's clock, or earlier
   */
  public void onSourceReply(long time) {
    raise(time);
  }

  private void raise(long time) {
    knownAt.accumulateAndGet(time, Math::max);
  }

  /**
   * Returns whether this host knows the recent changes.
   *
   * @return false if it has to ask the store
   */
  public boolean fresh() {
    return ageMillis() <= maxAgeMillis;
  }

  /**
   * Returns how old this host's knowledge of the store is.
   *
   * @return the age in milliseconds
   */
  public long ageMillis() {
    return clock.millis() - knownAt.get();
  }

  /**
   * Returns as of when this host has all changes of the store.
   *
   * @return the time by this host's clock
   */
  public long knownAt() {
    return knownAt.get();
  }

  /**
   * Returns when the store itself answered this host. What other hosts said does not count, because
   * two hosts would otherwise confirm each other for ever.
   *
   * @return the time by this host's clock; empty if this host can't vouch for recent changes
   */
  public OptionalLong storeAnsweredAt() {
    long time = answeredAt.get();
    return clock.millis() - time <= maxAgeMillis ? OptionalLong.of(time) : OptionalLong.empty();
  }
}
