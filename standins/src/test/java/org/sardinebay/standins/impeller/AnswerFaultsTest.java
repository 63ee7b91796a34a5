package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Clock;
import org.sardinebay.standins.platform.FreePorts;

class AnswerFaultsTest {
  private final MemberGroup group = new MemberGroup(Clock.system());
  private LineMember member;
  private LineCaller caller;

  @BeforeEach
  void start() throws Exception {
    group.add("m-1", true, 0);
    member = new LineMember("m-1", "orders", FreePorts.next(), group, 12);
    member.start();
    caller = LineCaller.open(member.address(), "orders");
  }

  @AfterEach
  void stop() throws Exception {
    caller.close();
    member.close();
  }

  private static boolean reads(MemberRequest request) {
    return request.kind().equals("READ");
  }

  @Test
  void should_send_an_answer_again_before_the_next_one() throws Exception {
    member.faults().nth(AnswerFaultsTest::reads, 1, AnswerFault.repeatBeforeNext());
    List<String> first = caller.query("READ a");

    assertThat(caller.query("WRITE a 1")).isEqualTo(first);
    assertThat(caller.readLine()).isEqualTo("DONE m-1.2." + caller.lastRequestId());
    assertThat(member.faults().repeated()).isOne();
  }

  @Test
  void should_send_an_answer_again_before_the_request_that_is_awaited() throws Exception {
    member
        .faults()
        .nth(
            AnswerFaultsTest::reads,
            1,
            new AnswerFault.RepeatBefore(request -> request.kind().equals("COMMIT")));
    List<String> first = caller.query("READ a");

    assertThat(caller.query("BEGIN")).startsWith("DONE -");
    assertThat(caller.query("COMMIT")).isEqualTo(first);
  }

  @Test
  void should_send_an_answer_again_after_the_next_one() throws Exception {
    member.faults().nth(AnswerFaultsTest::reads, 1, new AnswerFault.RepeatAfterNext());
    List<String> first = caller.query("READ a");
    caller.query("WRITE a 1");

    assertThat(List.of(caller.readLine(), caller.readLine(), caller.readLine())).isEqualTo(first);
  }

  @Test
  void should_send_an_answer_again_later() throws Exception {
    member.faults().nth(AnswerFaultsTest::reads, 1, new AnswerFault.RepeatLater(20));
    List<String> first = caller.query("READ a");

    assertThat(List.of(caller.readLine(), caller.readLine(), caller.readLine())).isEqualTo(first);
  }

  @Test
  void should_repeat_the_answer_to_the_start() throws Exception {
    member.faults().each(request -> request.kind().equals("START"), new AnswerFault.RepeatLater(0));
    try (LineCaller other = LineCaller.open(member.address(), "orders")) {
      assertThat(other.readLine()).isEqualTo("READY I 1.0");
    }
  }

  @Test
  void should_cut_an_answer_after_some_bytes_and_close() throws Exception {
    member
        .faults()
        .nth(AnswerFaultsTest::reads, 1, new AnswerFault.CutBytes("ROW -{}\r\nDO".length(), true));

    assertThat(caller.query("READ a")).containsExactly("ROW -{}", "closed");
  }

  @Test
  void should_cut_an_answer_after_some_lines_and_go_on() throws Exception {
    member.faults().nth(AnswerFaultsTest::reads, 1, new AnswerFault.CutLines(1, false));
    caller.send("QUERY a READ a\r\n");

    assertThat(caller.query("SET a b")).containsExactly("ROW -{}", "DONE -", "READY I 1.0");
  }

  @Test
  void should_refuse_a_statement_without_running_it() throws Exception {
    member.faults().nth(request -> true, 1, new AnswerFault.Refuse("BUSY"));

    assertThat(caller.query("WRITE a 1")).containsExactly("ERR BUSY m-1", "READY I 1.0");
    assertThat(group.commitsOf("a")).isZero();
    assertThat(member.recording().statements()).isEmpty();
  }

  @Test
  void should_select_the_same_share_for_the_same_seed() {
    List<List<Boolean>> selections = new ArrayList<>();
    for (int run = 0; run < 2; run++) {
      AnswerFaults faults = new AnswerFaults();
      faults.share(AnswerFaultsTest::reads, 0.3, 7, new AnswerFault.Delay(1));
      List<Boolean> selected = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        selected.add(!faults.of(new MemberRequest("READ", "q", "READ a")).isEmpty());
      }
      selections.add(selected);
    }

    assertThat(selections.get(0)).isEqualTo(selections.get(1)).contains(true, false);
  }

  @Test
  void should_record_the_shape_of_a_statement_behind_a_position() throws Exception {
    caller.query("PREPARE p READ q");
    caller.query("AFTER 1.0 EXEC p a");

    assertThat(member.recording().statements(caller.lastRequestId()).get(0).shape())
        .contains("READ q");
  }

  @Test
  void should_know_the_kind_of_a_statement_behind_a_position() {
    assertThat(MemberRequest.query("QUERY q AFTER 1.2 READ a"))
        .contains(new MemberRequest("READ", "q", "AFTER 1.2 READ a"));
  }
}
