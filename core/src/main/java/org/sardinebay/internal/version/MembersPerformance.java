package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.MemberId;

/**
 * What this host has learned about the speed and the errors of a service's members from the answers
 * to statements. Covers members that turn slow, or fail a part of the statements, while their
 * health check is good: such a member gets less work within a second, and more again when probing
 * statements succeed.
 *
 * <pre>{@code
 * performance.onAnswered(member, statementClass, millis, now);
 * long excessMillis = performance.excessMillis(member, statementClass, now);
 * boolean avoid = performance.setAside(member, now);
 * }</pre>
 *
 * <p>Health checks are no evidence here: they may be false either way.
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class MembersPerformance {
  /** Half-life of the samples of one member, in milliseconds: a change shows within a second. */
  private static final double RECENT_HALF_LIFE_MILLIS = 2_000;

  /** Half-life of the usual duration, in milliseconds: longer than a member is slow as a rule. */
  private static final double USUAL_HALF_LIFE_MILLIS = 20_000;

  /** The weight of the samples from which a mean counts in full. */
  private static final double FULL_WEIGHT = 4;

  /**
   * A mean below this multiple of the usual duration is no evidence that a member is slow: single
   * statements of a class differ by as much.
   */
  private static final double SLOW_FACTOR = 1.5;

  /**
   * A duration counts for the usual one as at most this multiple of it, so that a member that turns
   * slow does not soon become the usual case.
   */
  private static final double MAX_SAMPLE_FACTOR = 2;

  /** The share of errors from which a member is set aside. */
  private static final double MAX_ERROR_SHARE = 0.25;

  /** One member in this many may be set aside: the others have to carry its load. */
  private static final int MEMBERS_PER_SET_ASIDE = 3;

  /** Interval of the statements that probe a member that is set aside, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 250;

  /** The number of good answers in a row after which a member is used again. */
  private static final int GOOD_PROBES = 3;

  /** How the answer changed what is known of the member. */
  public enum Change {
    /** The member is used as before. */
    NONE,
    /** The member is set aside from now on. */
    SET_ASIDE,
    /** The member is used again. */
    RETURNED
  }

  private static final class Samples {
    private final Map<StatementClass, DecayingMean> durations = new HashMap<>();
    private final DecayingMean errors = new DecayingMean(RECENT_HALF_LIFE_MILLIS);
    private boolean setAside;
    private int goodProbes;
    private long probedAt;
  }

  private final Map<MemberId, Samples> members = new HashMap<>();
  private final Map<StatementClass, DecayingMean> usualDurations = new HashMap<>();

  /**
   * Records that a member answered a statement.
   *
   * @param member the member
   * @param statements the class of the statement
   * @param millis the time from sending to the answer without the round trip, in milliseconds
   * @param now the current time in milliseconds
   * @return whether the member is used again
   */
  public Change onAnswered(MemberId member, StatementClass statements, long millis, long now) {
    Samples samples = samples(member);
    samples
        .durations
        .computeIfAbsent(statements, s -> new DecayingMean(RECENT_HALF_LIFE_MILLIS))
        .add((double) millis, now);
    recordUsual(statements, millis, now);
    samples.errors.add(0, now);
    if (!samples.setAside || ++samples.goodProbes < GOOD_PROBES) {
      return Change.NONE;
    }
    members.put(member, new Samples());
    return Change.RETURNED;
  }

  private void recordUsual(StatementClass statements, long millis, long now) {
    DecayingMean usual =
        usualDurations.computeIfAbsent(statements, s -> new DecayingMean(USUAL_HALF_LIFE_MILLIS));
    boolean known = usual.weight(now) >= FULL_WEIGHT;
    double sample = (double) millis;
    usual.add(known ? Math.min(sample, MAX_SAMPLE_FACTOR * usual.mean(now)) : sample, now);
  }

  /**
   * Records that a member failed a statement, or that its answer was lost.
   *
   * @param member the member
   * @param memberCount the number of the service's members
   * @param now the current time in milliseconds
   * @return whether the member is set aside
   */
  public Change onFailed(MemberId member, int memberCount, long now) {
    Samples samples = samples(member);
    samples.errors.add(1, now);
    samples.goodProbes = 0;
    boolean failing =
        samples.errors.weight(now) >= FULL_WEIGHT && samples.errors.mean(now) >= MAX_ERROR_SHARE;
    long alreadySetAside = members.values().stream().filter(other -> other.setAside).count();
    if (samples.setAside
        || !failing
        || alreadySetAside >= Math.max(1, memberCount / MEMBERS_PER_SET_ASIDE)) {
      return Change.NONE;
    }
    samples.setAside = true;
    samples.probedAt = now;
    return Change.SET_ASIDE;
  }

  /**
   * Whether statements should go to other members.
   *
   * @param member the member
   * @param now the current time in milliseconds
   * @return true while the member is set aside and no probing statement is due
   */
  public boolean setAside(MemberId member, long now) {
    Samples samples = members.get(member);
    return samples != null && samples.setAside && now - samples.probedAt < PROBE_INTERVAL_MILLIS;
  }

  /**
   * Records that a statement is sent to a member; the next probe of a member that is set aside is
   * due an interval later.
   *
   * @param member the member
   * @param now the current time in milliseconds
   */
  public void onSent(MemberId member, long now) {
    Samples samples = members.get(member);
    if (samples != null && samples.setAside) {
      samples.probedAt = now;
    }
  }

  /**
   * Returns how much longer a member takes for a statement than is usual, in milliseconds.
   *
   * @param member the member
   * @param statements the class of the statement
   * @param now the current time in milliseconds
   * @return milliseconds, 0 without enough recent answers
   */
  public long excessMillis(MemberId member, StatementClass statements, long now) {
    Samples samples = members.get(member);
    DecayingMean recent = samples == null ? null : samples.durations.get(statements);
    if (recent == null) {
      return 0;
    }
    double usual = usualMillis(statements, now);
    double excess = recent.mean(now) - usual * SLOW_FACTOR;
    double confidence = Math.min(1, recent.weight(now) / FULL_WEIGHT);
    return excess <= 0 ? 0 : Math.round(excess * confidence);
  }

  /**
   * Returns the usual duration of a statement.
   *
   * @param statements the class of the statement
   * @param now the current time in milliseconds
   * @return the lower one of the mean over all members and the present mean of the fastest member,
   *     in milliseconds, 0 without answers
   */
  public double usualMillis(StatementClass statements, long now) {
    DecayingMean usual = usualDurations.get(statements);
    if (usual == null) {
      return 0;
    }
    double fastest =
        members.values().stream()
            .map(samples -> samples.durations.get(statements))
            .filter(mean -> mean != null && mean.weight(now) >= FULL_WEIGHT)
            .mapToDouble(mean -> mean.mean(now))
            .min()
            .orElse(Double.MAX_VALUE);
    return Math.min(usual.mean(now), fastest);
  }

  /**
   * Returns the share of errors in a member's recent answers.
   *
   * @param member the member
   * @param now the current time in milliseconds
   * @return a number from 0 to 1
   */
  public double errorShare(MemberId member, long now) {
    Samples samples = members.get(member);
    return samples == null || samples.errors.weight(now) == 0 ? 0 : samples.errors.mean(now);
  }

  /**
   * Forgets a member, because it has left or has started again.
   *
   * @param member the member
   */
  public void remove(MemberId member) {
    members.remove(member);
  }

  private Samples samples(MemberId member) {
    return members.computeIfAbsent(member, id -> new Samples());
  }
}
