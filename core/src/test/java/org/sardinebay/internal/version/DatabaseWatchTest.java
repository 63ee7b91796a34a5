package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

class DatabaseWatchTest {
  private static final MemberId A = PromotionSamples.member(0);
  private static final MemberId B = PromotionSamples.member(1);
  private static final MemberId C = PromotionSamples.member(2);
  private static final FailureDomain OWN_DOMAIN = new FailureDomain("hall-1");
  private static final FailureDomain OTHER_DOMAIN = new FailureDomain("hall-2");

  private final DatabaseRecord database = PromotionSamples.database(3);
  private final List<InvariantName> violations = new ArrayList<>();
  private final Map<MemberId, FakeMember> members = new TreeMap<>();
  private final Set<MemberId> unreachable = new TreeSet<>();
  private final DatabaseWatch watch =
      new DatabaseWatch(database, OWN_DOMAIN, (name, detail) -> violations.add(name), 0);
  private long nowMillis;
  private WatchStep step;
  private boolean replicating = true;

  @BeforeEach
  void createMembers() {
    for (MemberRecord record : database.members()) {
      members.put(record.id(), new FakeMember(record.id(), member -> {}));
    }
  }

  @Nested
  class NoPrimary {
    @Test
    void should_be_the_cause_at_the_first_start_once_a_majority_replies() {
      poll(300);

      assertThat(watch.cause()).contains(PromotionCause.NO_PRIMARY);
    }

    @Test
    void should_not_be_the_cause_while_only_a_minority_replies() {
      unreachable.addAll(Set.of(A, B));

      poll(2_000);

      assertThat(watch.cause()).isEmpty();
    }
  }

  @Nested
  class PrimarySilent {
    @BeforeEach
    void startWithPrimary() {
      promote(A, 1);
      poll(1_000);
      unreachable.add(A);
    }

    @Test
    void should_be_the_cause_when_another_failure_domain_agrees() {
      poll(500);
      watch.onSuspicionReport(OTHER_DOMAIN, 1, 550, nowMillis);

      poll(100);

      assertThat(watch.cause()).contains(PromotionCause.PRIMARY_SILENT);
      assertThat(step.promotion()).map(PromotionPlan::silent).contains(Optional.of(A));
    }

    @Test
    void should_not_be_the_cause_on_reports_of_one_failure_domain() {
      poll(3_000);

      assertThat(watch.cause()).isEmpty();
      assertThat(step.querySuspicion()).isTrue();
    }

    @Test
    void should_not_be_the_cause_right_after_this_process_was_paused() {
      nowMillis += 10_000;
      watch.onSuspicionReport(OTHER_DOMAIN, 1, 0, nowMillis);

      poll(100);

      assertThat(watch.cause()).isEmpty();
    }

    @Test
    void should_wait_for_the_watchers_of_higher_rank() {
      poll(500);
      watch.onSuspicionReport(OTHER_DOMAIN, 1, 550, nowMillis);

      step = watch.poll(2, nowMillis + 100);

      assertThat(step.promotionNeeded()).isTrue();
      assertThat(step.promotion()).isEmpty();
    }
  }

  @Nested
  class PrimaryPresent {
    @BeforeEach
    void startWithPrimary() {
      promote(A, 1);
      poll(1_000);
    }

    @Test
    void should_not_be_replaced_while_it_replies() {
      assertThat(watch.cause()).isEmpty();
      assertThat(watch.primary()).map(KnownPrimary::member).contains(A);
    }

    @Test
    void should_be_replaced_immediately_after_a_restart() {
      members.get(A).restart();

      poll(200);

      assertThat(watch.cause()).contains(PromotionCause.PRIMARY_DEPOSED);
    }

    @Test
    void should_not_be_replaced_because_of_a_reply_from_before_its_promotion() {
      members.get(B).handle(new EndpointCall.Fence(2, "driver"));
      watch.onProgressReply(B, members.get(B).standing(), nowMillis, nowMillis);
      members.get(C).handle(new EndpointCall.Follow(2, B, database.members().get(1).address()));
      watch.onProgressReply(C, members.get(C).standing(), nowMillis, nowMillis);

      watch.poll(0, nowMillis + 50);

      assertThat(watch.primary()).map(KnownPrimary::member).contains(B);
      assertThat(watch.cause()).isEmpty();
    }

    @Test
    void should_be_replaced_when_it_is_leaving() {
      watch.updateConfiguration(database, Set.of(A));

      poll(200);

      assertThat(watch.cause()).contains(PromotionCause.PRIMARY_LEAVING);
      assertThat(step.promotion()).map(PromotionPlan::excluded).contains(Set.of(A));
    }

    @Test
    void should_not_be_replaced_when_leaving_while_the_others_are_no_majority() {
      watch.updateConfiguration(database, Set.of(A, B));

      poll(2_000);

      assertThat(watch.cause()).isEmpty();
    }

    @Test
    void should_be_replaced_by_another_member_when_its_entries_reach_no_majority() {
      members.get(A).append();

      replicating = false;
      poll(2_000);

      assertThat(watch.cause()).contains(PromotionCause.PRIMARY_CUT_OFF);
      assertThat(step.promotion()).map(PromotionPlan::excluded).contains(Set.of(A));
    }

    @Test
    void should_not_be_replaced_while_entries_still_reach_a_majority() {
      for (int i = 0; i < 30; i++) {
        members.get(A).append();
        poll(100);
      }

      assertThat(watch.cause()).isEmpty();
    }

    @Test
    void should_be_replaced_when_a_majority_has_seen_a_newer_term() {
      members.get(B).handle(new EndpointCall.Fence(2, "crashed-driver"));
      members.get(C).handle(new EndpointCall.Fence(2, "crashed-driver"));

      poll(700);

      assertThat(watch.cause()).contains(PromotionCause.TERM_ABANDONED);
    }

    @Test
    void should_be_replaced_after_a_longer_delay_when_one_member_has_seen_a_newer_term() {
      members.get(B).handle(new EndpointCall.Fence(2, "crashed-driver"));

      poll(900);
      Optional<PromotionCause> earlyCause = watch.cause();
      poll(1_000);

      assertThat(earlyCause).isEmpty();
      assertThat(watch.cause()).contains(PromotionCause.TERM_ABANDONED);
    }

    @Test
    void should_be_published_when_its_driver_did_not_publish_it() {
      boolean publicationDue = false;
      for (int i = 0; i < 30; i++) {
        poll(100);
        publicationDue |= step.publication().isPresent();
      }

      assertThat(publicationDue).isTrue();
    }
  }

  @Nested
  class Replicas {
    @Test
    void should_be_ordered_to_follow_after_a_restart() {
      promote(B, 2);
      poll(200);
      members.get(C).restart();

      List<MemberId> followed = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        poll(100);
        step.follows().forEach(follow -> followed.add(follow.member()));
      }

      assertThat(followed).contains(C).doesNotContain(A, B);
    }
  }

  @Nested
  class Invariant {
    @Test
    void should_be_violated_by_two_primaries_in_one_term() {
      promote(A, 1);
      poll(600);
      FakeMember secondPrimary = new FakeMember(B, member -> {});
      secondPrimary.handle(new EndpointCall.Fence(1, "other-driver"));
      secondPrimary.handle(new EndpointCall.Promote(1, "other-driver"));

      watch.onProgressReply(B, secondPrimary.standing(), nowMillis, nowMillis);

      assertThat(violations).contains(InvariantName.TERM_HAS_ONE_DRIVER);
    }

    @Test
    void should_be_violated_by_a_term_that_starts_below_a_confirmed_entry() {
      promote(A, 1);
      for (int i = 0; i < 5; i++) {
        members.get(A).append();
      }
      poll(1_200);

      watch.promoted(2, B, new Position(2, 3), nowMillis);

      assertThat(violations).containsExactly(InvariantName.CONFIRMED_ENTRIES_SURVIVE);
    }
  }

  private void promote(MemberId primary, long term) {
    members.get(primary).handle(new EndpointCall.Fence(term, "driver"));
    members.get(primary).handle(new EndpointCall.Promote(term, "driver"));
    for (MemberRecord record : database.members()) {
      if (!record.id().equals(primary)) {
        members.get(record.id()).handle(new EndpointCall.Follow(term, primary, record.address()));
      }
    }
  }

  /** Polls every 100 ms; reachable members reply immediately. */
  private void poll(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      nowMillis += DatabaseWatch.POLL_MILLIS;
      replicate();
      step = watch.poll(0, nowMillis);
      for (MemberId member : step.polls()) {
        EndpointReply reply =
            unreachable.contains(member)
                ? new EndpointReply.NoReply()
                : members.get(member).standing();
        watch.onProgressReply(member, reply, nowMillis, nowMillis);
      }
    }
  }

  private void replicate() {
    if (!replicating) {
      return;
    }
    for (FakeMember member : members.values()) {
      member.primary().ifPresent(primary -> member.replicateFrom(members.get(primary), 100));
    }
  }
}
