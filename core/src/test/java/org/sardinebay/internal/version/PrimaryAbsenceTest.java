package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.sardinebay.HostId;

class PrimaryAbsenceTest {
  private static final HostId HOME = new HostId("waco-1");

  private final PrimaryAbsence absence = new PrimaryAbsence();

  @Test
  void should_count_for_a_short_time_after_a_report() {
    absence.reported("orders", HOME, 1_000);

    assertThat(absence.recent("orders", HOME, 1_299)).isTrue();
    assertThat(absence.recent("orders", HOME, 1_300)).isFalse();
  }

  @Test
  void should_concern_one_service_and_one_home() {
    absence.reported("orders", HOME, 1_000);

    assertThat(absence.recent("stock", HOME, 1_000)).isFalse();
    assertThat(absence.recent("orders", new HostId("waco-2"), 1_000)).isFalse();
  }
}
