package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionControlTest {
  private final AdmissionControl admission = new AdmissionControl();

  private int admitted(int calls) {
    int admitted = 0;
    for (int i = 0; i < calls; i++) {
      admitted += admission.admits() ? 1 : 0;
    }
    return admitted;
  }

  @Test
  void should_admit_all_statements_while_the_host_is_on_time() {
    admission.onTick(240);

    assertThat(admitted(100)).isEqualTo(100);
  }

  @Test
  void should_admit_fewer_statements_while_the_host_is_late() {
    admission.onTick(500);
    admission.onTick(500);

    assertThat(admitted(100)).isEqualTo(25);
  }

  @Test
  void should_never_refuse_all_statements() {
    for (int i = 0; i < 100; i++) {
      admission.onTick(1_000);
    }

    assertThat(admitted(100)).isBetween(9, 10);
  }

  @Test
  void should_admit_all_statements_again_within_a_second_of_ticks_on_time() {
    for (int i = 0; i < 100; i++) {
      admission.onTick(1_000);
    }
    for (int i = 0; i < 20; i++) {
      admission.onTick(0);
    }

    assertThat(admitted(100)).isEqualTo(100);
  }

  /** Guards against callers that are refused together and then return together. */
  @Nested
  class RefusedCallers {
    private long[] returnTimes(long lateMillis) {
      admission.onTick(lateMillis);
      return IntStream.range(0, 1_000)
          .mapToLong(id -> admission.retryAfterMillis("request" + id))
          .sorted()
          .toArray();
    }

    @Test
    void should_return_when_the_work_before_them_is_done() {
      assertThat(returnTimes(1_200)[0]).isBetween(1_200L, 1_250L);
    }

    @Test
    void should_return_evenly_over_as_long_as_the_host_was_late() {
      long[] times = returnTimes(1_200);

      assertThat(times[499]).isBetween(1_700L, 1_900L);
      assertThat(times[999]).isBetween(2_300L, 2_399L);
    }

    @Test
    void should_not_return_at_once_to_a_host_that_is_on_time_again() {
      assertThat(returnTimes(0)[0]).isGreaterThanOrEqualTo(500);
    }
  }

  /**
   * Plays a host that gets three times the statements that its processor can carry. A refusal costs
   * a fifth of a statement. Callers give up after a second. The event loop runs its ticks behind
   * all work that arrived before.
   */
  @Nested
  class Overload {
    private static final int TICK_MILLIS = 50;
    private static final int ARRIVALS_PER_TICK = 30;
    private static final double STATEMENT_MILLIS = 5;
    private static final double REFUSAL_MILLIS = 1;
    private static final int PATIENCE_MILLIS = 1_000;
    private static final int SECONDS = 20;

    private int servedInTime(boolean controlled) {
      Deque<Integer> begun = new ArrayDeque<>();
      double processorFreeAt = 0;
      int served = 0;
      for (int now = 0; now < SECONDS * 1_000; now += TICK_MILLIS) {
        processorFreeAt = Math.max(processorFreeAt, now);
        double backlogMillis = processorFreeAt - now + begun.size() * STATEMENT_MILLIS;
        admission.onTick(Math.round(backlogMillis));
        for (int i = 0; i < ARRIVALS_PER_TICK; i++) {
          if (!controlled || admission.admits()) {
            begun.add(now);
          } else {
            processorFreeAt += REFUSAL_MILLIS;
          }
        }
        while (!begun.isEmpty() && processorFreeAt < now + TICK_MILLIS) {
          processorFreeAt += STATEMENT_MILLIS;
          served += processorFreeAt - begun.poll() <= PATIENCE_MILLIS ? 1 : 0;
        }
      }
      return served;
    }

    @Test
    void should_serve_a_good_part_of_what_the_host_can_carry() {
      int carried = (int) (SECONDS * 1_000 / STATEMENT_MILLIS);

      assertThat(servedInTime(true)).isGreaterThan(carried / 3);
    }

    @Test
    void should_be_what_keeps_the_host_from_serving_only_callers_that_have_given_up() {
      int carried = (int) (SECONDS * 1_000 / STATEMENT_MILLIS);

      assertThat(servedInTime(false)).isLessThan(carried / 10);
    }
  }
}
