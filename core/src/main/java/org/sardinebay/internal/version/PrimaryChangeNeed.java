package org.sardinebay.internal.version;

import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.session.MemberRole;

/**
 * Decides from this host's view whether a service needs a new primary.
 *
 * <pre>{@code
 * Optional<PrimaryChangeNeed.Cause> cause = PrimaryChangeNeed.of(view, now);
 * }</pre>
 */
public final class PrimaryChangeNeed {
  /**
   * How long a primary's address must refuse connections, in milliseconds. The time covers a second
   * refused attempt, which confirms that the process has ended.
   */
  public static final long REFUSED_MILLIS = 500;

  /**
   * How long a primary must stay unreachable after the first failed attempt, in milliseconds. It is
   * longer than two more connection attempts and one packet retransmission.
   */
  public static final long SILENT_MILLIS = 1_000;

  /**
   * How long a service may be without a known primary, in milliseconds. It is longer than a start
   * takes.
   */
  public static final long UNKNOWN_MILLIS = 2_500;

  /**
   * How long a service with fenced members may be without a usable primary, in milliseconds: the
   * driver of its change may just be waiting for leases to expire.
   */
  public static final long ABANDONED_MILLIS = 1_000;

  /**
   * How long a service is without a usable primary before a change is expected, in milliseconds. It
   * is longer than the first replies take after a start.
   */
  public static final long SUSPECTED_MILLIS = 500;

  /** The reason why a new primary is needed. */
  public enum Cause {
    /** The primary reports that it is about to leave. */
    LEAVING,
    /** The primary's address refuses connections. */
    REFUSED,
    /** The primary doesn't reply. */
    SILENT,
    /** Every member that replies reports the replica role. */
    UNKNOWN,
    /**
     * Members are fenced for a change of primary, or it is announced, but no driver completes it.
     */
    ABANDONED
  }

  private PrimaryChangeNeed() {}

  /**
   * Evaluates whether a new primary is needed.
   *
   * @param view this host's view of the service
   * @param now the current time in milliseconds
   * @return the cause, or empty if no new primary is needed
   */
  public static Optional<Cause> of(ServiceView view, long now) {
    Optional<MemberView> primary = view.primary();
    if (view.members().size() < 2) {
      return view.lease().primaryAlone() ? causeOfAbandonedChange(view, now) : Optional.empty();
    }
    if (primary.isEmpty() || view.newestTerm() > view.term()) {
      return view.members().stream().allMatch(m -> ruledOutAsPrimary(view, m, now))
          ? causeWithoutPrimary(view, now)
          : Optional.empty();
    }
    MemberView member = primary.get();
    if (member.entry().draining() && !awaitsReplicas(view, member)) {
      return Optional.of(Cause.LEAVING);
    }
    long unreachableMillis = member.unreachableMillis(now);
    if (member.refusing() && unreachableMillis >= REFUSED_MILLIS) {
      return Optional.of(Cause.REFUSED);
    }
    if (unreachableMillis >= SILENT_MILLIS) {
      return Optional.of(Cause.SILENT);
    }
    return causeOfAbandonedChange(view, now);
  }

  private static Optional<Cause> causeOfAbandonedChange(ServiceView view, long now) {
    boolean begun = view.fencedAbove(view.term()) || view.lease().changeAnnounced();
    return begun && view.millisWithoutPrimary(now) >= ABANDONED_MILLIS
        ? Optional.of(Cause.ABANDONED)
        : Optional.empty();
  }

  /**
   * Returns whether a leaving primary has to stay: if it were demoted now, no member could be shown
   * to have every acknowledged commit.
   */
  private static boolean awaitsReplicas(ServiceView view, MemberView primary) {
    long unseen =
        view.members().stream().filter(m -> m.unreachable() && !m.id().equals(primary.id())).count()
            + view.departedReplicas().size();
    int required = view.synchronousReplicas();
    return required > 0 && unseen >= required && !primary.unreachable();
  }

  private static Optional<Cause> causeWithoutPrimary(ServiceView view, long now) {
    if (view.millisWithoutPrimary(now) >= UNKNOWN_MILLIS) {
      return Optional.of(Cause.UNKNOWN);
    }
    return view.fencedAbove(view.newestTerm()) && view.millisWithoutPrimary(now) >= ABANDONED_MILLIS
        ? Optional.of(Cause.ABANDONED)
        : Optional.empty();
  }

  /**
   * Returns whether a change may soon be needed: the service has been without a usable primary for
   * longer than this host usually needs to learn the primary after a change or a start.
   *
   * @param view this host's view of the service
   * @param now the current time in milliseconds
   * @return true if the service has been without a usable primary for {@link #SUSPECTED_MILLIS} or
   *     longer
   */
  public static boolean suspected(ServiceView view, long now) {
    return view.members().size() >= 2 && view.millisWithoutPrimary(now) >= SUSPECTED_MILLIS;
  }

  /**
   * Returns the members that this host can't reach. Whatever the reason, other hosts may reach
   * them, and a change of primary must not start while they do.
   *
   * @param view this host's view of the service
   * @return the ids
   */
  public static List<MemberId> unseenMembers(ServiceView view) {
    return view.members().stream().filter(MemberView::unreachable).map(MemberView::id).toList();
  }

  /**
   * Returns whether a member can't be the primary: it replies as a replica or as the primary of an
   * older term, or it has been unreachable for {@link #SILENT_MILLIS}. Before that, it may have
   * become primary since its last reply.
   */
  private static boolean ruledOutAsPrimary(ServiceView view, MemberView member, long now) {
    if (member.unreachable()) {
      return member.unreachableMillis(now) >= SILENT_MILLIS;
    }
    return member
        .status()
        .filter(s -> s.role() == MemberRole.REPLICA || s.term() < view.newestTerm())
        .isPresent();
  }
}
