package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;

class ConfigSourceSelectorTest {
  private static final Address FIRST = new Address("127.0.0.1", 1);
  private static final Address SECOND = new Address("127.0.0.1", 2);
  private static final Address PEER = new Address("127.0.0.1", 3);
  private static final List<Address> PREFERRED = List.of(FIRST, SECOND);
  private static final List<Address> FALLBACKS = List.of(PEER);

  private final ConfigSourceSelector sourceSelector = new ConfigSourceSelector();

  @Nested
  class Next {
    @Test
    void should_be_another_source_after_one_returned_nothing_newer() {
      sourceSelector.recordUnchanged();

      assertThat(sourceSelector.next(PREFERRED, FALLBACKS)).contains(SECOND);
    }

    @Test
    void should_be_the_same_source_after_it_returned_newer_records() {
      sourceSelector.recordChanged();

      assertThat(sourceSelector.next(PREFERRED, FALLBACKS)).contains(FIRST);
    }

    @Test
    void should_be_a_fallback_only_when_all_preferred_sources_failed() {
      sourceSelector.recordFailure();
      assertThat(sourceSelector.next(PREFERRED, FALLBACKS)).contains(SECOND);
      sourceSelector.recordFailure();

      assertThat(sourceSelector.next(PREFERRED, FALLBACKS)).contains(PEER);
    }

    @Test
    void should_be_empty_when_there_is_no_source() {
      assertThat(sourceSelector.next(List.of(), List.of())).isEmpty();
    }
  }

  @Nested
  class Pause {
    @Test
    void should_increase_with_each_round_without_an_answer() {
      long before = sourceSelector.pauseMillis();
      for (int i = 0; i < 3; i++) {
        sourceSelector.recordFailure();
      }
      sourceSelector.next(PREFERRED, FALLBACKS);

      long after = sourceSelector.pauseMillis();

      assertThat(after).isGreaterThan(before);
    }
  }
}
