package org.sardinebay.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformResult;

class PlatformStateTest {
  private static final ObjectKey KEY = new ObjectKey("staleness", "tablets");
  private static final ObjectNode BODY = Json.newObject().put("schemaVersion", 1);
  private static final HostEntry HOST =
      new HostEntry("waco-1", new FailureDomain("waco-hall"), false);
  private static final PlatformSettings SETTINGS =
      new PlatformSettings(new Address("127.0.0.1", 1), 5, 2, 1_000, List.of(HOST));

  private long now;
  private final PlatformState state = new PlatformState(SETTINGS, () -> now);

  @Nested
  class Watches {
    @Test
    void should_ignore_changes_of_other_kinds_until_the_deadline() {
      state.write(KEY, 0, BODY);
      PlatformAnswer answer = state.watch(List.of("staleness"), 1, 1_000);

      state.write(new ObjectKey("databases", "d"), 0, BODY);
      List<ReadyWatch> afterOtherKind = state.readyWatches();
      now = 1_000;
      List<ReadyWatch> afterDeadline = state.readyWatches();

      assertThat(answer).isEqualTo(new PlatformAnswer.Waiting(1));
      assertThat(afterOtherKind).isEmpty();
      assertThat(afterDeadline)
          .extracting(ready -> ready.answer().result())
          .containsExactly(new PlatformResult.Listing(2, List.of()));
    }

    @Test
    void should_end_when_an_outage_begins() {
      state.write(KEY, 0, BODY);
      state.watch(List.of("staleness"), 1, 1_000);

      state.changeFaults(new PlatformFaults(true, 0, 0));

      assertThat(state.readyWatches())
          .extracting(ready -> ready.answer().result())
          .containsExactly(new PlatformResult.Failed(PlatformFailure.UNAVAILABLE));
    }
  }

  @Nested
  class Rates {
    @Test
    void should_apply_one_rate_limit_to_reads_and_watches() {
      for (int i = 0; i < 3; i++) {
        state.read(KEY);
      }
      state.watch(List.of("staleness"), 0, 0);
      state.hosts();

      PlatformAnswer above = state.read(KEY);
      now += 1_000;
      PlatformAnswer later = state.read(KEY);

      assertThat(result(above)).isEqualTo(new PlatformResult.Failed(PlatformFailure.RATE_LIMITED));
      assertThat(result(later)).isEqualTo(new PlatformResult.Absent());
      assertThat(state.counters()).isEqualTo(new PlatformCounters(5, 0, 1, 1));
    }
  }

  @Nested
  class LostAnswers {
    @Test
    void should_lose_only_answers_of_writes_that_take_effect() {
      state.changeFaults(new PlatformFaults(false, 0, 1));

      PlatformAnswer conflict = state.write(KEY, 7, BODY);
      PlatformAnswer written = state.write(KEY, 0, BODY);

      assertThat(result(conflict)).isEqualTo(new PlatformResult.Conflict(0));
      assertThat(written).isEqualTo(new PlatformAnswer.Lost());
      assertThat(result(state.read(KEY))).isInstanceOf(PlatformResult.Found.class);
    }
  }

  @Nested
  class Hosts {
    @Test
    void should_show_a_change_only_after_the_lag() {
      HostEntry leaving = new HostEntry("waco-1", new FailureDomain("waco-hall"), true);
      state.putHost(leaving);

      now = 999;
      PlatformAnswer early = state.hosts();
      now = 1_000;
      PlatformAnswer late = state.hosts();

      assertThat(result(early)).isEqualTo(new PlatformResult.Hosts(1, List.of(HOST)));
      assertThat(result(late)).isEqualTo(new PlatformResult.Hosts(2, List.of(leaving)));
    }
  }

  private static PlatformResult result(PlatformAnswer answer) {
    return ((PlatformAnswer.Known) answer).result();
  }
}
