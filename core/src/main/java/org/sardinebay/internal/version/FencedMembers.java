package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;

/**
 * The members that are fenced for one change of primary, and the choice of the one to promote.
 *
 * <pre>{@code
 * fenced.onReply(member, status, now);
 * if (!fenced.mayLackCommits(view)) { promote(fenced.mostAdvanced(view)); }
 * }</pre>
 */
final class FencedMembers {
  private final MemberId oldPrimary;
  private final boolean planned;
  private final long nextTerm;
  private final Map<MemberId, MemberStatus> statuses = new HashMap<>();
  private final Map<MemberId, Long> fencedAt = new HashMap<>();
  private final Set<MemberId> notRunning = new HashSet<>();

  FencedMembers(MemberId oldPrimary, boolean planned, long nextTerm) {
    this.oldPrimary = oldPrimary;
    this.planned = planned;
    this.nextTerm = nextTerm;
  }

  /** Applies a member's reply to a fence request; without the fence, it does not count. */
  void onReply(MemberId member, MemberStatus status, long now) {
    if (status.fenceTerm() >= nextTerm) {
      statuses.put(member, status);
      fencedAt.put(member, now);
    }
  }

  /** Records that the platform refused to promote a member because it is not running. */
  void onNotRunning(MemberId member) {
    notRunning.add(member);
  }

  /** Makes members available again that were not running when their promotion was ordered. */
  void retryMembersNotRunning() {
    notRunning.clear();
  }

  boolean contains(MemberId member) {
    return statuses.containsKey(member);
  }

  boolean isEmpty() {
    return statuses.isEmpty();
  }

  /**
   * Returns whether all the given members are fenced; the old primary is not fenced but replaced.
   */
  boolean containsAll(Collection<MemberId> members) {
    return members.stream().allMatch(id -> id.equals(oldPrimary) || statuses.containsKey(id));
  }

  /**
   * Returns from when on no host has confirmations of every member: the member to promote is
   * fenced, and all hosts know it. Without such a member, when the last fence was confirmed.
   */
  long coveringSince(ServiceView view) {
    return mostAdvanced(view)
        .flatMap(view::member)
        .map(m -> Math.max(fencedAt.get(m.id()), m.knownToAllAt()))
        .orElseGet(() -> lastFencedAt().orElseThrow());
  }

  /** Returns whether the entry of the member to promote has disappeared. */
  boolean targetExpired(ServiceView view) {
    return mostAdvanced(view).flatMap(view::member).filter(m -> m.entry().expired()).isPresent();
  }

  /** Returns when the last fence was confirmed, in milliseconds, empty if no member is fenced. */
  OptionalLong lastFencedAt() {
    return statuses.keySet().stream().mapToLong(fencedAt::get).max();
  }

  /** Returns the position that a member had received when it was fenced. */
  Optional<Position> received(MemberId member) {
    return Optional.ofNullable(statuses.get(member)).map(MemberStatus::received);
  }

  /**
   * Removes a member that has lost its fence because its process was restarted, or may have lost it
   * because it is registered anew.
   */
  void removeIfFenceMayBeLost(MemberView member) {
    long lastFenced = fencedAt.getOrDefault(member.id(), Long.MAX_VALUE);
    boolean unfenced =
        member.statusRequestedAt().orElse(Long.MIN_VALUE) > lastFenced
            && member
                .status()
                .filter(s -> s.fenceTerm() < nextTerm && s.term() < nextTerm)
                .isPresent();
    if (unfenced || member.knownSince() > lastFenced) {
      statuses.remove(member.id());
    }
  }

  /**
   * Returns whether a commit may have been acknowledged that no available member has. An
   * acknowledged commit is on {@link ServiceView#synchronousReplicas} replicas, so one of the
   * available replicas has it if fewer than that many are missing. The log of a demoted primary has
   * all of them.
   */
  boolean mayLackCommits(ServiceView view) {
    int required = view.synchronousReplicas();
    if (required == 0) {
      return false;
    }
    long missing =
        Stream.concat(
                view.members().stream().map(MemberView::id).filter(id -> !available(view, id)),
                view.departedReplicas().stream())
            .filter(id -> !id.equals(oldPrimary))
            .count();
    return missing >= required && !haveLogOfDemoted(view);
  }

  private boolean haveLogOfDemoted(ServiceView view) {
    Optional<Position> end =
        view.member(oldPrimary)
            .filter(m -> planned && !m.unreachable())
            .flatMap(MemberView::status)
            .filter(s -> s.role() == MemberRole.REPLICA)
            .map(MemberStatus::received);
    return end.isPresent()
        && statuses.keySet().stream()
            .filter(id -> available(view, id))
            .anyMatch(id -> statuses.get(id).received().compareTo(end.get()) >= 0);
  }

  private boolean available(ServiceView view, MemberId id) {
    return statuses.containsKey(id)
        && !notRunning.contains(id)
        && view.member(id).filter(m -> !m.unreachable()).isPresent();
  }

  /**
   * Returns the available member that has received the most entries. If commits wait for replicas,
   * a leaving member is promoted too if it alone has received that much: it serves until its log is
   * on another member.
   */
  Optional<MemberId> mostAdvanced(ServiceView view) {
    Comparator<MemberId> byReceived = Comparator.comparing(id -> statuses.get(id).received());
    return statuses.keySet().stream()
        .filter(id -> available(view, id))
        .filter(id -> view.synchronousReplicas() > 0 || !leaving(view, id))
        .max(
            byReceived
                .thenComparing(id -> !leaving(view, id))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static boolean leaving(ServiceView view, MemberId id) {
    return view.member(id).filter(m -> m.entry().draining()).isPresent();
  }
}
