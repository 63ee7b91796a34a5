package org.sardinebay.internal.version;

import java.util.OptionalLong;

/**
 * How long the driver of a change of primary waits until no host has a lease on the old primary any
 * more. It counts from the announcement of the change and from fences, never from the silence of a
 * member.
 *
 * <p>The member to promote has to be listed in the registry after the announcement: a host that has
 * started since the member's entry disappeared doesn't know the member.
 *
 * <pre>{@code
 * wait.onAnnounced(now);
 * if (now >= wait.endsAt(fenced, view, now)) { order the promotion }
 * }</pre>
 */
final class LeaseWait {
  private static final long NEVER = Long.MAX_VALUE / 2;

  private OptionalLong announcedAt = OptionalLong.empty();

  /** Records that the store has confirmed the announcement. */
  void onAnnounced(long now) {
    if (announcedAt.isEmpty()) {
      announcedAt = OptionalLong.of(now);
    }
  }

  boolean announced() {
    return announcedAt.isPresent();
  }

  /**
   * Returns the end of the wait, far in the future before the announcement and the first fence, and
   * until the member to promote is known to be registered since the announcement.
   */
  long endsAt(FencedMembers fenced, ServiceView view, long now) {
    if (announcedAt.isEmpty() || fenced.isEmpty()) {
      return NEVER;
    }
    long announced = announcedAt.getAsLong();
    if (!view.lease().membersListedSince(announced) || fenced.targetExpired(view)) {
      return NEVER;
    }
    long end = Math.max(fenced.coveringSince(view), announced) + PrimaryLease.COVERAGE_MILLIS;
    if (view.lease().possibleMembers(now).filter(fenced::containsAll).isPresent()) {
      long lastFenced = fenced.lastFencedAt().orElseThrow();
      end = Math.min(end, Math.max(lastFenced, announced) + PrimaryLease.DURATION_MILLIS);
    }
    return end + PrimaryLease.DRIVER_MARGIN_MILLIS;
  }
}
