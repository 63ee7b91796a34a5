package org.sardinebay.ctl.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.net.log.LogLine;

class CauseFinderTest {
  private final List<SourcedLine> lines = new ArrayList<>();

  private void line(int second, String source, String rest) {
    String text = String.format("time=2026-12-03T10:00:%02d.000Z level=INFO %s", second, rest);
    lines.add(new SourcedLine(source, LogLine.parse(text).orElseThrow()));
  }

  private Optional<String> cause() {
    return CauseFinder.cause(RequestHistory.of("r1", lines));
  }

  @Nested
  class Busy {
    @Test
    void should_report_that_the_host_was_too_late_to_begin_the_statement() {
      line(
          20,
          "host-1",
          "event=statement_failed request=r1 service=s code=BUSY text=\"nothing was kept: this host"
              + " is overloaded; retry in 500 ms\"");

      assertThat(cause())
          .contains("the caller's host was late with its own work and did not begin it");
    }

    @Test
    void should_report_that_the_quota_of_the_workspace_was_used_up() {
      line(
          20,
          "host-1",
          "event=statement_failed request=r1 service=s workspace=w1 code=BUSY text=\"not run: the"
              + " quota of the workspace is used up; retry in 230 ms\"");

      assertThat(cause())
          .contains("the quota of workspace w1 was used up: the keepers asked had no tokens");
    }

    @Test
    void should_report_the_expected_wait_of_a_rejected_statement() {
      line(
          20,
          "host-1",
          "event=statement_rejected_on_arrival request=r1 expected_millis=900 elapsed_millis=2");
      line(20, "host-1", "event=statement_failed request=r1 service=s code=BUSY");

      assertThat(cause())
          .contains(
              "it would have waited 900 ms for a connection, beyond its deadline, and was rejected"
                  + " after 2 ms");
    }

    @Test
    void should_report_why_the_primary_was_replaced() {
      line(18, "host-1", "event=primary_change_needed service=s primary=m-1 cause=REFUSED");
      line(
          20,
          "host-1",
          "event=place_not_found request=r1 service=s needs=primary unusable_millis=1900");
      line(20, "host-1", "event=statement_failed request=r1 service=s code=BUSY");

      assertThat(cause())
          .contains(
              "no primary could be relied upon for 1900 ms: the primary was m-1, replaced because"
                  + " REFUSED");
    }

    @Test
    void should_report_the_lost_primary_if_a_later_line_names_no_primary() {
      line(17, "host-1", "event=primary_change_needed service=s primary=m-1 cause=LEAVING");
      line(18, "host-2", "event=primary_change_needed service=s primary=- cause=UNKNOWN");
      line(
          20,
          "host-1",
          "event=place_not_found request=r1 service=s needs=primary unusable_millis=1900");
      line(20, "host-1", "event=statement_failed request=r1 service=s code=BUSY");

      assertThat(cause().orElseThrow()).endsWith("the primary was m-1, replaced because LEAVING");
    }

    @Test
    void should_ignore_events_of_other_services() {
      line(18, "host-1", "event=primary_change_needed service=other primary=m-9 cause=REFUSED");
      line(
          20,
          "host-1",
          "event=place_not_found request=r1 service=s needs=primary unusable_millis=1900");
      line(20, "host-1", "event=statement_failed request=r1 service=s code=BUSY");

      assertThat(cause()).contains("no primary could be relied upon for 1900 ms");
    }

    @Test
    void should_not_be_derived_from_a_truncated_line() {
      line(20, "host-1", "event=place_not_found request=r1 service=s needs=any");
      line(20, "host-1", "event=statement_failed request=r1 service=s code=BUSY");

      assertThat(cause()).isEmpty();
    }

    @Test
    void should_report_the_last_attempt_when_all_attempts_failed() {
      line(20, "host-1", "event=attempt_failed request=r1 member=m-2 outcome=Refused[LAGGING]");
      line(20, "host-1", "event=statement_failed request=r1 service=s code=BUSY");

      assertThat(cause()).contains("every attempt failed, the last with Refused[LAGGING] at m-2");
    }
  }

  @Nested
  class InDoubt {
    @Test
    void should_report_the_expired_lease() {
      line(20, "host-1", "event=attempt_failed request=r1 member=m-1 outcome=LeaseLost[]");
      line(20, "host-1", "event=statement_failed request=r1 service=s code=IN_DOUBT");

      assertThat(cause())
          .contains("the answer of m-1 arrived after its lease as the primary had expired");
    }

    @Test
    void should_report_the_home_that_did_not_reply() {
      line(20, "host-1", "event=forward_failed request=r1 home=host-7 outcome=\"no reply\"");
      line(20, "host-1", "event=statement_failed request=r1 service=s code=IN_DOUBT");

      assertThat(cause())
          .contains("the write was forwarded to the home host-7, which did not reply");
    }
  }

  @Nested
  class Undetermined {
    @Test
    void should_be_empty_if_no_line_shows_the_cause() {
      line(20, "host-1", "event=statement_failed request=r1 service=s code=BUSY");

      assertThat(cause()).isEmpty();
    }

    @Test
    void should_be_none_for_a_statement_that_succeeded() {
      line(20, "host-1", "event=statement_done request=r1 service=s");

      assertThat(cause()).contains("none: the statement succeeded");
    }
  }

  @Test
  void should_sort_the_request_lines_of_all_processes_by_time() {
    line(21, "host-1", "event=statement_failed request=r1 service=s code=TIMEOUT");
    line(20, "host-2", "event=attempt_failed request=r1 member=m-1 outcome=NoAnswer[]");
    line(20, "host-2", "event=attempt_failed request=r2 member=m-1 outcome=NoAnswer[]");

    assertThat(RequestHistory.of("r1", lines).requestLines())
        .extracting(SourcedLine::source)
        .containsExactly("host-2", "host-1");
    assertThat(cause()).contains("no answer in time, the last attempt: NoAnswer[] at m-1");
  }
}
