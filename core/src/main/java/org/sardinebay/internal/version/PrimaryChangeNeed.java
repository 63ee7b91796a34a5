package org.sardinebay.internal.version;

import java.util.Optional;
import org.sardinebay.session.MemberRole;

/**
 * Decides whether a service needs another primary, from what this host sees.
 *
 * <pre>{@code
 * Optional<PrimaryChangeNeed.Cause> cause = PrimaryChangeNeed.of(view, now);
 * }</pre>
 */
public final class PrimaryChangeNeed {
  /**
   * How long a primary's address must refuse connections, in milliseconds: its process has ended,
   * which two refused attempts confirm.
   */
  public static final long REFUSED_MILLIS = 500;

  /**
   * How long a primary must be silent after the first sign of it, in milliseconds: above two more
   * attempts to connect, and one packet sent again.
   */
  public static final long SILENT_MILLIS = 1_000;

  /** How long a service may be without a known primary, in milliseconds: above a start. */
  public static final long UNKNOWN_MILLIS = 2_500;

  /**
   * How long a service with fenced members may be without a primary to rely upon, in milliseconds:
   * its driver may only be waiting for leases to run out.
   */
  public static final long ABANDONED_MILLIS = 1_000;

  /**
   * How long a service is without a primary to rely upon before a change is expected, in
   * milliseconds: above the first answers after a start.
   */
  public static final long SUSPECTED_MILLIS = 500;

  /** Why another primary is needed. */
  public enum Cause {
    /** The primary says that it is about to leave. */
    LEAVING,
    /** The primary's address refuses connections. */
    REFUSED,
    /** The primary does not answer. */
    SILENT,
    /** Every member that answers says that it follows. */
    UNKNOWN,
    /** Members are fenced for a change of primary that nobody finishes. */
    ABANDONED
  }

  private PrimaryChangeNeed() {}

  /**
   * Decides.
   *
   * @param view what is known of the service
   * @param now the time
   * @return why another primary is needed, empty if none is
   */
  public static Optional<Cause> of(ServiceView view, long now) {
    Optional<MemberView> primary = view.primary();
    if (view.members().size() < 2) {
      return Optional.empty();
    }
    if (primary.isEmpty()) {
      return view.members().stream().allMatch(m -> follows(m, now))
          ? withoutLeader(view, now)
          : Optional.empty();
    }
    MemberView member = primary.get();
    if (member.entry().draining()) {
      return Optional.of(Cause.LEAVING);
    }
    long failing = member.failingMillis(now);
    if (member.refusing() && failing >= REFUSED_MILLIS) {
      return Optional.of(Cause.REFUSED);
    }
    if (failing >= SILENT_MILLIS) {
      return Optional.of(Cause.SILENT);
    }
    boolean abandoned =
        view.fencedAbove(view.term()) && view.unusableMillis(now) >= ABANDONED_MILLIS;
    return abandoned ? Optional.of(Cause.ABANDONED) : Optional.empty();
  }

  private static Optional<Cause> withoutLeader(ServiceView view, long now) {
    if (view.unusableMillis(now) >= UNKNOWN_MILLIS) {
      return Optional.of(Cause.UNKNOWN);
    }
    return view.fencedAbove(view.newestTerm()) && view.unusableMillis(now) >= ABANDONED_MILLIS
        ? Optional.of(Cause.ABANDONED)
        : Optional.empty();
  }

  /**
   * Whether a change may soon be needed: a service has been without a primary to rely upon for
   * longer than a change or a start usually takes to show one.
   *
   * @param view what is known of the service
   * @param now the time
   * @return true from {@link #SUSPECTED_MILLIS} on
   */
  public static boolean suspected(ServiceView view, long now) {
    return view.members().size() >= 2 && view.unusableMillis(now) >= SUSPECTED_MILLIS;
  }

  /** A member that was never heard of may lead: this host may only lack a connection to it. */
  private static boolean follows(MemberView member, long now) {
    boolean says = member.status().filter(s -> s.role() == MemberRole.REPLICA).isPresent();
    return says || member.failingMillis(now) >= SILENT_MILLIS;
  }
}
