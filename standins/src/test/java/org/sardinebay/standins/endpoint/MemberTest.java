package org.sardinebay.standins.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.MemberRole;
import org.sardinebay.endpoint.StatementKind;

class MemberTest {
  private static final Address ADDRESS = new Address("127.0.0.1", 7101);

  private final MemberHarness primary = new MemberHarness("a");
  private final MemberHarness replica = new MemberHarness("b");

  private void follow(long term) {
    replica.send(new EndpointCall.Follow(term, new MemberId("a"), ADDRESS));
  }

  @Nested
  class Writes {
    @Test
    void should_append_one_entry_and_replay_it() {
      primary.becomePrimary(1);
      String connection = primary.open();

      EndpointReply first = primary.write(connection, "add bales 2", "k");
      EndpointReply second = primary.write(connection, "add bales 2", "k");

      assertThat(first).isEqualTo(new EndpointReply.Done(List.of("2"), new Position(1, 2), false));
      assertThat(second).isEqualTo(new EndpointReply.Done(List.of("2"), new Position(1, 2), true));
    }

    @Test
    void should_refuse_a_key_that_was_used_for_another_request() {
      primary.becomePrimary(1);
      String connection = primary.open();
      primary.write(connection, "add bales 2", "k");

      EndpointCall.Execute call =
          primary.execute(connection, StatementKind.WRITE, "add bales 3", "k");
      EndpointReply reply =
          primary.call(
              new EndpointCall.Execute(
                  connection,
                  call.kind(),
                  call.statement(),
                  call.term(),
                  call.minimumPosition(),
                  0,
                  Optional.of(new IdempotencyKey("k", "other")),
                  MemberHarness.DEADLINE_MILLIS));

      assertThat(MemberHarness.refusal(reply)).isEqualTo(EndpointRefusal.KEY_REUSED);
    }

    @Test
    void should_refuse_a_revoked_key() {
      primary.becomePrimary(1);
      String connection = primary.open();
      EndpointReply revoked =
          primary.call(primary.execute(connection, StatementKind.REVOKE, "", "k"));

      EndpointReply reply = primary.write(connection, "put a 1", "k");

      assertThat(MemberHarness.rows(revoked)).containsExactly("revoked");
      assertThat(MemberHarness.refusal(reply)).isEqualTo(EndpointRefusal.REVOKED);
    }

    @Test
    void should_return_the_outcome_of_the_write_when_its_key_is_revoked() {
      primary.becomePrimary(1);
      String connection = primary.open();
      primary.write(connection, "add a 1", "k");

      EndpointReply reply =
          primary.call(primary.execute(connection, StatementKind.REVOKE, "", "k"));

      assertThat(reply).isEqualTo(new EndpointReply.Done(List.of("1"), new Position(1, 2), true));
    }

    @Test
    void should_refuse_a_write_whose_term_ended_before_it_took_effect() {
      primary.becomePrimary(1);
      String connection = primary.open();
      long ticket = primary.send(primary.execute(connection, StatementKind.WRITE, "put a 1", "k"));

      primary.send(new EndpointCall.Fence(2, "driver"));
      primary.advance(10);

      assertThat(primary.reply(ticket).map(MemberHarness::refusal))
          .contains(EndpointRefusal.STALE_TERM);
    }
  }

  @Nested
  class Reads {
    @Test
    void should_run_a_read_once_its_minimum_position_is_applied() {
      primary.becomePrimary(1);
      primary.write(primary.open(), "put a 1", "k");
      follow(1);
      String connection = replica.open();
      long ticket = replica.send(MemberHarness.read(connection, "get a", new Position(1, 2), 500));

      replica.advance(100);
      replica.copyFrom(primary);
      replica.advance(1);

      assertThat(replica.reply(ticket).map(MemberHarness::rows)).contains(List.of("1"));
    }

    @Test
    void should_refuse_a_read_as_behind_after_its_maximum_wait() {
      follow(1);

      EndpointReply reply =
          replica.call(MemberHarness.read(replica.open(), "get a", new Position(1, 2), 50));

      assertThat(MemberHarness.refusal(reply)).isEqualTo(EndpointRefusal.BEHIND);
    }

    @Test
    void should_refuse_a_position_that_a_newer_term_excludes() {
      primary.becomePrimary(1);
      primary.becomePrimary(2);

      EndpointReply reply = primary.read(primary.open(), "get a", new Position(1, 7));

      assertThat(MemberHarness.refusal(reply)).isEqualTo(EndpointRefusal.BRANCH_LOST);
    }

    @Test
    void should_not_apply_entries_while_applying_is_frozen() {
      primary.becomePrimary(1);
      primary.write(primary.open(), "put a 1", "k");
      replica.faults(new MemberFaults(0, 0, false, true));
      follow(1);
      replica.copyFrom(primary);

      EndpointReply frozen = replica.read(replica.open(), "get a", Position.ZERO);
      replica.faults(MemberHarness.NO_FAULTS);
      EndpointReply thawed = replica.read(replica.open(), "get a", Position.ZERO);

      assertThat(MemberHarness.rows(frozen)).isEmpty();
      assertThat(MemberHarness.rows(thawed)).containsExactly("1");
    }
  }

  @Nested
  class Transactions {
    @Test
    void should_read_own_writes_and_commit_them_in_one_entry() {
      primary.becomePrimary(1);
      String connection = primary.open();
      primary.run(connection, StatementKind.BEGIN, "");
      primary.run(connection, StatementKind.STATEMENT, "append a 1");
      primary.run(connection, StatementKind.STATEMENT, "append a 2");

      EndpointReply own = primary.run(connection, StatementKind.STATEMENT, "get a");
      EndpointReply outside = primary.read(primary.open(), "get a", Position.ZERO);
      EndpointReply commit =
          primary.call(primary.execute(connection, StatementKind.COMMIT, "", "k"));

      assertThat(MemberHarness.rows(own)).containsExactly("1", "2");
      assertThat(MemberHarness.rows(outside)).isEmpty();
      assertThat(commit).isEqualTo(new EndpointReply.Done(List.of(), new Position(1, 2), false));
    }

    @Test
    void should_refuse_a_commit_after_a_key_that_the_transaction_read_has_changed() {
      primary.becomePrimary(1);
      String connection = primary.open();
      primary.run(connection, StatementKind.BEGIN, "");
      primary.run(connection, StatementKind.STATEMENT, "get a");
      primary.run(connection, StatementKind.STATEMENT, "put b 1");
      primary.write(primary.open(), "put a 9", "other");

      EndpointReply commit =
          primary.call(primary.execute(connection, StatementKind.COMMIT, "", "k"));

      assertThat(MemberHarness.refusal(commit)).isEqualTo(EndpointRefusal.CONFLICT);
      assertThat(MemberHarness.rows(primary.read(connection, "get b", Position.ZERO))).isEmpty();
    }

    @Test
    void should_refuse_a_commit_after_a_scanned_range_has_grown() {
      primary.becomePrimary(1);
      String connection = primary.open();
      primary.run(connection, StatementKind.BEGIN, "");
      primary.run(connection, StatementKind.STATEMENT, "scan pump:");
      primary.write(primary.open(), "put pump:1 x", "other");

      EndpointReply commit =
          primary.call(primary.execute(connection, StatementKind.COMMIT, "", "k"));

      assertThat(MemberHarness.refusal(commit)).isEqualTo(EndpointRefusal.CONFLICT);
    }

    @Test
    void should_drop_the_transaction_of_an_idle_connection() {
      primary.becomePrimary(1);
      String connection = primary.open();
      primary.run(connection, StatementKind.BEGIN, "");

      primary.advance(4_000);

      EndpointReply reply = primary.run(connection, StatementKind.STATEMENT, "get a");
      assertThat(MemberHarness.refusal(reply)).isEqualTo(EndpointRefusal.UNKNOWN_CONNECTION);
      assertThat(primary.member().connections().count()).isZero();
    }
  }

  @Nested
  class Limits {
    @Test
    void should_count_connections_that_are_still_being_opened() {
      for (int i = 0; i < 3; i++) {
        primary.send(new EndpointCall.Open("proxy"));
      }

      long ticket = primary.send(new EndpointCall.Open("proxy"));

      assertThat(primary.reply(ticket).map(MemberHarness::refusal))
          .contains(EndpointRefusal.CONNECTION_LIMIT);
      assertThat(primary.member().connections().peak()).isEqualTo(3);
    }

    @Test
    void should_not_run_a_statement_whose_deadline_passed_in_the_queue() {
      primary.becomePrimary(1);
      String slow = primary.open();
      String waiting = primary.open();
      primary.send(MemberHarness.read(slow, "sleep 2000", Position.ZERO, 0));

      EndpointReply reply = primary.write(waiting, "put a 1", "k");

      assertThat(MemberHarness.refusal(reply)).isEqualTo(EndpointRefusal.SLOT_TIMEOUT);
      assertThat(primary.member().state().log().entryForKey("k")).isEmpty();
    }

    @Test
    void should_assign_slots_in_the_order_of_arrival() {
      primary.becomePrimary(1);
      String one = primary.open();
      String two = primary.open();
      primary.send(primary.execute(one, StatementKind.WRITE, "append a 1", "k1"));
      primary.send(primary.execute(two, StatementKind.WRITE, "append a 2", "k2"));

      EndpointReply reply = primary.read(primary.open(), "get a", Position.ZERO);

      assertThat(MemberHarness.rows(reply)).containsExactly("1", "2");
    }

    @Test
    void should_refuse_new_connections_while_leaving() {
      primary.faults(new MemberFaults(0, 0, true, false));

      EndpointReply reply = primary.call(new EndpointCall.Open("proxy"));

      assertThat(MemberHarness.refusal(reply)).isEqualTo(EndpointRefusal.LEAVING);
    }
  }

  @Nested
  class Terms {
    @Test
    void should_fence_for_one_owner_only() {
      primary.send(new EndpointCall.Fence(3, "one"));

      EndpointReply same = primary.call(new EndpointCall.Fence(3, "one"));
      EndpointReply other = primary.call(new EndpointCall.Fence(3, "two"));

      assertThat(same).isEqualTo(new EndpointReply.Obeyed(3, Position.ZERO));
      assertThat(MemberHarness.refusal(other)).isEqualTo(EndpointRefusal.STALE_TERM);
    }

    @Test
    void should_refuse_promotion_in_a_term_that_it_followed_even_after_a_restart() {
      replica.send(new EndpointCall.Fence(1, "driver"));
      follow(1);
      replica.restart();

      EndpointReply reply = replica.call(new EndpointCall.Promote(1, "driver"));

      assertThat(MemberHarness.refusal(reply)).isEqualTo(EndpointRefusal.NOT_PRIMARY);
    }

    @Test
    void should_be_fenced_after_a_restart_until_it_is_promoted_again() {
      primary.becomePrimary(1);
      primary.restart();

      MemberRole before = primary.member().state().role();
      EndpointReply again = primary.call(new EndpointCall.Promote(1, "driver"));

      assertThat(before).isEqualTo(MemberRole.FENCED);
      assertThat(again).isEqualTo(new EndpointReply.Obeyed(1, new Position(1, 1)));
    }

    @Test
    void should_decline_a_pull_for_an_earlier_term() {
      primary.becomePrimary(1);
      primary.send(new EndpointCall.Fence(2, "driver"));

      PullReply reply = primary.pull(1, Position.ZERO);

      assertThat(reply).isEqualTo(new PullReply.Declined());
    }

    @Test
    void should_ignore_entries_received_for_an_earlier_term() {
      primary.becomePrimary(1);
      follow(1);
      MemberOutput.Pull pull = replica.lastPull();
      PullReply late = primary.pull(1, Position.ZERO);
      replica.send(new EndpointCall.Fence(2, "driver"));

      replica.pulled(pull, late);

      assertThat(replica.member().state().log().last()).isEqualTo(Position.ZERO);
    }
  }

  @Nested
  class Replication {
    @Test
    void should_truncate_entries_that_the_new_primary_does_not_have() {
      replica.becomePrimary(1);
      replica.write(replica.open(), "put a lost", "k");
      primary.becomePrimary(2);

      follow(2);
      boolean before = replica.member().state().synced();
      replica.copyFrom(primary);

      assertThat(before).isFalse();
      assertThat(replica.member().state().synced()).isTrue();
      assertThat(replica.member().state().log().last()).isEqualTo(new Position(2, 1));
      assertThat(replica.member().state().log().entryForKey("k")).isEmpty();
      assertThat(MemberHarness.rows(replica.read(replica.open(), "get a", Position.ZERO)))
          .isEmpty();
    }

    @Test
    void should_be_synced_only_with_the_no_op_entry_of_the_term() {
      primary.becomePrimary(1);
      String connection = primary.open();
      primary.write(connection, "put a 1", "k1");
      primary.write(connection, "put a 2", "k2");
      primary.becomePrimary(2);
      follow(2);

      MemberOutput.Pull pull = replica.lastPull();
      replica.pulled(pull, primary.pull(2, pull.request().after()));

      assertThat(replica.member().state().log().last()).isEqualTo(new Position(1, 2));
      assertThat(replica.member().state().synced()).isFalse();
    }

    @Test
    void should_answer_a_progress_call_when_an_entry_arrives() {
      primary.becomePrimary(1);
      follow(1);
      replica.copyFrom(primary);
      long ticket = replica.send(new EndpointCall.Progress(1, 1, 10_000));
      boolean early = replica.reply(ticket).isPresent();

      primary.write(primary.open(), "put a 1", "k");
      replica.copyFrom(primary);

      assertThat(early).isFalse();
      assertThat(replica.reply(ticket)).isPresent();
    }
  }
}
