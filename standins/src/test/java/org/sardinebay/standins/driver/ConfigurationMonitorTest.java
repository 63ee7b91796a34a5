package org.sardinebay.standins.driver;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationMonitorTest {
  private static final long MAX_PROPAGATION_MILLIS = 16_000;

  @Nested
  class Starting {
    @Test
    void should_include_a_process_that_has_no_configuration_yet() {
      assertThat(ConfigurationMonitor.isStarting(Map.of(), 0)).isTrue();
    }

    @Test
    void should_not_include_a_process_that_has_part_of_the_configuration() {
      assertThat(ConfigurationMonitor.isStarting(Map.of("databases/contracts-1", 1L), 0)).isFalse();
    }

    @Test
    void should_not_include_a_process_that_stays_without_configuration() {
      assertThat(ConfigurationMonitor.isStarting(Map.of(), MAX_PROPAGATION_MILLIS)).isFalse();
    }
  }
}
