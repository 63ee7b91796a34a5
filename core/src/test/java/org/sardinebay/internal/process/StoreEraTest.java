package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StoreEraTest {
  private long now = 1_000;
  private final StoreEra era = new StoreEra(() -> now);
  private final List<String> changes = new ArrayList<>();

  private void listen() {
    era.onChange((previous, current) -> changes.add(previous + " " + current));
  }

  @Test
  void should_report_the_first_era_without_a_previous_one() {
    listen();
    era.onResponse(3);

    assertThat(changes).containsExactly("OptionalLong.empty 3");
  }

  @Test
  void should_report_a_later_era_once() {
    era.onResponse(3);
    listen();
    era.onResponse(4);
    era.onResponse(4);

    assertThat(changes).containsExactly("OptionalLong[3] 4");
  }

  @Test
  void should_ignore_a_late_response_of_an_earlier_era() {
    era.onResponse(4);
    listen();
    era.onResponse(3);

    assertThat(era.current()).isEqualTo(4);
    assertThat(changes).isEmpty();
  }

  @Test
  void should_tell_how_long_the_current_era_has_been_seen() {
    era.onResponse(3);
    now = 5_000;
    era.onResponse(4);

    assertThat(era.seenFor(2_000, 6_999)).isFalse();
    assertThat(era.seenFor(2_000, 7_000)).isTrue();
  }

  @Test
  void should_count_as_seen_for_any_time_if_no_response_names_an_era() {
    assertThat(era.seenFor(2_000, now)).isTrue();
  }
}
