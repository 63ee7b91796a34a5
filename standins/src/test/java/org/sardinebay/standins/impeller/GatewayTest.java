package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.math.BigInteger;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.internal.version.MemberDirectory;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.Json;
import org.sardinebay.standins.platform.FreePorts;

class GatewayTest {
  private final Clock clock = Clock.system();
  private LineProtocolPlatform platform;
  private RunningProcess gateway;
  private Address callers;
  private GatewayFleet fleet;

  @BeforeEach
  void startAll() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, clock);
    fleet = new GatewayFleet(platform.address());
    callers = FreePorts.next();
    gateway = startGateway(callers, "host-1");
    await(() -> read("strict", "probe").get(0).startsWith("ROW"));
  }

  private RunningProcess startGateway(Address listen, String host) throws IOException {
    return fleet.start(listen, host, "hall-m-1");
  }

  @AfterEach
  void stopAll() throws Exception {
    gateway.shutdown();
    platform.close();
  }

  private List<String> read(String database, String item) throws IOException {
    try (LineCaller caller = LineCaller.open(callers, database)) {
      return caller.query("READ " + item);
    }
  }

  private void await(Callable<Boolean> condition) throws Exception {
    GatewayFleet.await(condition, () -> "dump: " + gateway.dump());
  }

  @Nested
  class Statements {
    @Test
    void should_pass_rows_and_signature_unchanged() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        List<String> written = caller.query("WRITE a 17 sealed");
        assertThat(written.get(0)).isEqualTo(SignedAnswers.doneLine(platform, caller));
        List<String> read = caller.query("READ a");
        assertThat(read)
            .startsWith("ROW 17 sealed{}", SignedAnswers.doneLine(platform, caller))
            .hasSize(3);
      }
    }

    @Test
    void should_read_own_writes_whatever_the_replicas_lag() throws Exception {
      platform.group().lag("m-2", 700);
      platform.group().lag("m-3", 700);
      try (LineCaller caller = LineCaller.open(callers, "own")) {
        for (int i = 0; i < 5; i++) {
          caller.query("WRITE b " + i);
          assertThat(caller.query("READ b").get(0)).isEqualTo("ROW " + i + "{}");
        }
      }
    }

    @Test
    void should_apply_session_values_on_any_connection_that_runs_the_statement() throws Exception {
      try (LineCaller one = LineCaller.open(callers, "strict");
          LineCaller other = LineCaller.open(callers, "strict")) {
        one.query("SET zone north");
        for (int i = 0; i < 10; i++) {
          assertThat(one.query("READ x").get(0)).isEqualTo("ROW -{zone=north}");
          assertThat(other.query("READ x").get(0)).isEqualTo("ROW -{}");
        }
      }
    }

    @Test
    void should_isolate_prepared_statement_names_of_sessions() throws Exception {
      try (LineCaller one = LineCaller.open(callers, "strict");
          LineCaller other = LineCaller.open(callers, "strict")) {
        one.query("PREPARE s1 WRITE shape1");
        other.query("PREPARE s1 READ shape2");
        List<String> written = one.query("EXEC s1 k v");
        assertThat(written.get(0)).isEqualTo(SignedAnswers.doneLine(platform, one));
        assertThat(other.query("EXEC s1 k").get(0)).isEqualTo("ROW v{}");
        one.query("DEALLOC s1");
        assertThat(one.query("EXEC s1 k v").get(0)).startsWith("ERR NOSTMT");
      }
    }
  }

  @Nested
  class Transactions {
    @Test
    void should_apply_all_writes_of_a_committed_transaction() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "own")) {
        assertThat(caller.query("BEGIN").get(1)).startsWith("READY T");
        caller.query("WRITE t1 a");
        caller.query("WRITE t2 b");
        assertThat(platform.group().commitsOf("t1")).isZero();
        List<String> committed = caller.query("COMMIT");
        assertThat(committed.get(0)).isEqualTo(SignedAnswers.doneLine(platform, caller));
        assertThat(caller.query("READ t2").get(0)).isEqualTo("ROW b{}");
      }
    }

    @Test
    void should_discard_the_writes_of_a_rolled_back_transaction() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        caller.query("BEGIN");
        caller.query("WRITE r1 a");
        assertThat(caller.query("ROLLBACK").get(1)).startsWith("READY I");
      }
      assertThat(platform.group().commitsOf("r1")).isZero();
    }

    @Test
    void should_roll_back_when_the_caller_disconnects() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        caller.query("BEGIN");
        caller.query("WRITE l1 a");
      }
      assertThat(read("strict", "l1").get(0)).isEqualTo("ROW -{}");
      assertThat(platform.group().commitsOf("l1")).isZero();
    }

    @Test
    void should_be_rolled_back_when_idle_too_long() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        caller.query("BEGIN");
        caller.query("WRITE i1 a");
        Thread.sleep(1_500);
        assertThat(caller.query("COMMIT").get(0)).startsWith("ERR ABORTED");
      }
      assertThat(platform.group().commitsOf("i1")).isZero();
    }

    /** Guards against callers that hold every connection without using it. */
    @Test
    void should_be_rolled_back_sooner_while_statements_wait_for_its_connection() throws Exception {
      // The later version brings the workspaces, so the limit is in force once they are.
      platform.limitConnections(1);
      platform.configureWorkspaces(PlatformWorkspace.of("acme", "acme-key"));
      await(() -> runsForWorkspace());
      try (LineCaller holder = LineCaller.open(callers, "strict", "acme-key");
          LineCaller other = LineCaller.open(callers, "strict", "acme-key")) {
        holder.query("BEGIN");
        holder.query("WRITE p1 a");
        Thread.sleep(350);
        List<String> written = other.query("WRITE p2 b");
        assertThat(written.get(0)).isEqualTo(SignedAnswers.doneLine(platform, other));
        assertThat(holder.query("COMMIT").get(0)).startsWith("ERR ABORTED");
      }
      assertThat(platform.group().commitsOf("p1")).isZero();
    }

    private boolean runsForWorkspace() throws IOException {
      try (LineCaller caller = LineCaller.open(callers, "strict", "acme-key")) {
        return caller.query("READ a").get(0).startsWith("ROW")
            && platform.member(0).recording().starts().contains("acme");
      }
    }

    @Test
    void should_accept_only_the_end_of_a_failed_transaction() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "aged")) {
        caller.query("BEGIN READ");
        assertThat(caller.query("EXEC unknown 1").get(0)).startsWith("ERR NOSTMT");
        assertThat(caller.query("READ a").get(0)).startsWith("ERR MALFORMED");
        assertThat(caller.query("ROLLBACK")).last().asString().startsWith("READY I");
      }
    }
  }

  @Nested
  class LostAnswers {
    @Test
    void should_retry_a_read_whose_answer_is_lost() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        platform.member(0).loseAnswers(1);
        assertThat(caller.query("READ a").get(0)).startsWith("ROW");
      }
    }

    @Test
    void should_report_a_write_in_doubt_and_not_retry_it() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        platform.member(0).loseAnswers(1);
        assertThat(caller.query("WRITE w once").get(0)).startsWith("ERR INDOUBT");
      }
      assertThat(platform.group().commitsOf("w")).isEqualTo(1);
    }

    @Test
    void should_abort_when_the_answer_to_a_statement_before_commit_is_lost() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        caller.query("BEGIN");
        caller.query("READ a");
        platform.member(0).loseAnswers(1);
        assertThat(caller.query("WRITE p 1").get(0)).startsWith("ERR ABORTED");
        assertThat(caller.query("ROLLBACK")).last().asString().startsWith("READY I");
      }
      assertThat(platform.group().commitsOf("p")).isZero();
    }
  }

  @Nested
  class PrimaryChanges {
    @Test
    void should_fail_over_when_the_primary_crashes() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "own")) {
        caller.query("WRITE c before");
        Thread.sleep(200);
        platform.member(0).crash();
        await(() -> caller.query("WRITE c after").get(0).startsWith("DONE"));
        assertThat(caller.query("READ c").get(0)).isEqualTo("ROW after{}");
      }
      assertThat(platform.store().promotions()).hasSize(1);
    }

    @Test
    void should_replace_a_leaving_primary_without_losing_a_commit() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        caller.query("WRITE d kept");
        platform.register(0, "draining");
        await(() -> !platform.group().isPrimary("m-1"));
        await(() -> caller.query("READ d").get(0).equals("ROW kept{}"));
      }
    }

    @Test
    void should_not_promote_while_the_store_is_down() throws Exception {
      platform.store().down(true);
      platform.member(0).crash();
      Thread.sleep(3_000);
      assertThat(platform.store().promotions()).isEmpty();
      platform.store().down(false);
      await(() -> read("strict", "x").get(0).startsWith("ROW"));
    }

    @Test
    void should_promote_after_the_answer_to_a_claim_was_lost() throws Exception {
      platform.store().loseWriteAnswers(true);
      platform.member(0).crash();
      Thread.sleep(2_500);
      platform.store().loseWriteAnswers(false);
      await(() -> read("strict", "x").get(0).startsWith("ROW"));
      assertThat(platform.store().promotions()).isNotEmpty();
    }
  }

  @Nested
  class Configuration {
    @Test
    void should_be_applied_soon_after_it_was_written() throws Exception {
      platform.configure("strict", "aged", "own", "strict2");
      await(() -> read("strict2", "a").get(0).startsWith("ROW"));
    }

    @Test
    void should_be_watched_again_after_the_store_compacted_its_history() throws Exception {
      platform.store().compact();
      platform.configure("strict", "extra");
      await(() -> read("extra", "a").get(0).startsWith("ROW"));
    }

    @Test
    void should_be_fetched_from_a_peer_when_a_host_starts_while_the_store_is_down()
        throws Exception {
      platform.store().down(true);
      Address other = FreePorts.next();
      RunningProcess second = startGateway(other, "host-2");
      await(() -> LineCaller.open(other, "own").query("READ a").get(0).startsWith("ROW"));
      second.shutdown();
    }

    @Test
    void should_stay_in_force_while_the_store_is_down() throws Exception {
      platform.store().down(true);
      Thread.sleep(5_000);
      assertThat(read("strict", "a").get(0)).startsWith("ROW");
    }

    @Test
    void should_keep_a_member_that_is_deleted_and_registered_in_one_change() throws Exception {
      for (int i = 0; i < 3; i++) {
        platform.store().replaceInOnePage("servers", "m-" + (i + 1));
      }
      Thread.sleep(MemberDirectory.EXPIRY_GRACE_MILLIS + 1_000);
      assertThat(read("strict", "a").get(0)).startsWith("ROW");
    }

    @Test
    void should_recover_after_all_members_were_deregistered_for_a_while() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "own")) {
        caller.query("BEGIN");
        caller.query("READ a");
        for (int i = 0; i < 3; i++) {
          platform.store().delete("servers", "m-" + (i + 1));
        }
        Thread.sleep(MemberDirectory.EXPIRY_GRACE_MILLIS + 1_000);
      }
      for (int i = 0; i < 3; i++) {
        platform.register(i, "ready");
      }
      await(() -> read("strict", "a").get(0).startsWith("ROW"));
    }

    @Test
    void should_ignore_invalid_entries() throws Exception {
      platform.store().put("servers", "m-9", Json.newObject().put("backend", 7));
      platform.store().put("servers", "m-2", Json.newObject().put("addr", "nowhere"));
      platform.register(2, "ready");
      Thread.sleep(300);
      assertThat(read("own", "a").get(0)).startsWith("ROW");
    }
  }

  /**
   * Guards against a host that stops following members, because another writer's entry among theirs
   * is beyond the limits of what is read.
   */
  @Nested
  class EntriesBeyondTheLimits {
    @Test
    void should_not_keep_the_host_from_following_the_others() throws Exception {
      ObjectNode nested = Json.newObject();
      ObjectNode inner = nested;
      for (int i = 0; i < 150; i++) {
        inner = inner.putObject("n");
      }
      platform.store().put("servers", "m-7", nested);
      platform
          .store()
          .put("servers", "m-8", Json.newObject().put("slots", BigInteger.TEN.pow(1_500)));
      platform.store().put("servers", "m-9", Json.newObject().put("n".repeat(60_000), 1));

      platform.register(2, "draining");

      await(() -> gateway.dump().toString().contains("\"draining\":true"));
    }
  }

  @Nested
  class BadInput {
    private String answerTo(String bytes) throws IOException {
      try (LineCaller caller = new LineCaller(callers)) {
        caller.send(bytes);
        return caller.readLine();
      }
    }

    @Test
    void should_refuse_a_statement_before_the_start() throws Exception {
      assertThat(answerTo("QUERY q1 READ a\r\n")).startsWith("ERR MALFORMED");
    }

    @Test
    void should_refuse_an_unknown_database() throws Exception {
      assertThat(answerTo("START nowhere test\r\n")).startsWith("ERR NODB");
    }

    @Test
    void should_refuse_bytes_that_are_not_text() throws Exception {
      assertThat(answerTo("\u0000\u00ff\u0001\u00fe\r\n")).startsWith("ERR MALFORMED");
    }

    @Test
    void should_refuse_a_line_that_is_too_long() throws Exception {
      assertThat(answerTo("START " + "x".repeat((1 << 20) + 10))).startsWith("ERR TOOBIG");
    }

    @Test
    void should_refuse_a_line_that_is_not_completed_in_time() throws Exception {
      assertThat(answerTo("START str")).startsWith("ERR MALFORMED");
    }

    @Test
    void should_refuse_a_second_statement_before_the_answer() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        caller.send("QUERY q1 READ a\r\nQUERY q2 WRITE b 1\r\n");
        assertThat(caller.readLine()).startsWith("ERR MALFORMED");
      }
      assertThat(platform.group().commitsOf("b")).isZero();
    }

    @Test
    void should_serve_others_while_callers_do_not_read_their_answers() throws Exception {
      try (LineCaller writer = LineCaller.open(callers, "strict")) {
        writer.query("WRITE big " + "x".repeat(100_000));
      }
      List<LineCaller> silent = new ArrayList<>();
      try {
        for (int i = 0; i < 30; i++) {
          LineCaller caller = LineCaller.open(callers, "strict");
          caller.send("QUERY s" + i + " READ big\r\n");
          silent.add(caller);
        }
        assertThat(read("strict", "a").get(0)).startsWith("ROW");
      } finally {
        for (LineCaller caller : silent) {
          caller.close();
        }
      }
    }

    @Test
    void should_keep_the_session_after_an_unknown_statement() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        assertThat(caller.query("DROP a").get(0)).startsWith("ERR MALFORMED");
        assertThat(caller.query("READ a").get(0)).startsWith("ROW");
      }
    }
  }

  @Nested
  class Shutdown {
    @Test
    void should_let_an_open_transaction_finish() throws Exception {
      Address other = FreePorts.next();
      RunningProcess second = startGateway(other, "host-2");
      await(() -> LineCaller.open(other, "strict").query("READ a").get(0).startsWith("ROW"));
      try (LineCaller caller = LineCaller.open(other, "strict")) {
        // A process whose event loop is late after its start may refuse statements.
        await(() -> beginsAndWrites(caller));
        Thread stopping = new Thread(second::shutdown);
        stopping.start();
        Thread.sleep(300);
        assertThat(second.ready()).isFalse();
        assertThat(caller.query("COMMIT").get(0)).startsWith("DONE");
        assertThat(caller.readLine()).isNull();
        stopping.join();
      }
      assertThat(platform.group().commitsOf("s")).isEqualTo(1);
    }

    private boolean beginsAndWrites(LineCaller caller) throws IOException {
      caller.query("BEGIN");
      if (caller.query("WRITE s 1").get(0).startsWith("DONE")) {
        return true;
      }
      caller.query("ROLLBACK");
      return false;
    }

    @Test
    void should_close_all_connections_and_listeners() throws Exception {
      gateway.shutdown();
      LineMember member = platform.member(0);
      member.crash();
      member.start();
      Thread.sleep(500);

      assertThat(member.connections()).isZero();
      assertThat(platform.member(1).connections()).isZero();
      assertThatThrownBy(() -> LineCaller.open(callers, "strict"))
          .isInstanceOf(ConnectException.class);
    }
  }
}
