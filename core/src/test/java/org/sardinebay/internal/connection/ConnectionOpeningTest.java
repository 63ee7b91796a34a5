package org.sardinebay.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sardinebay.internal.connection.ConnectionOpening.Decision.AWAIT;
import static org.sardinebay.internal.connection.ConnectionOpening.Decision.NONE;
import static org.sardinebay.internal.connection.ConnectionOpening.Decision.OPEN;
import static org.sardinebay.internal.connection.ConnectionOpening.Decision.REPLACE;

import org.junit.jupiter.api.Test;

class ConnectionOpeningTest {
  private static final long SERVICE_MILLIS = 24;

  private static final long NEAR_MILLIS = ConnectionOpening.openMillis(1);
  private static final long FAR_MILLIS = ConnectionOpening.openMillis(16);

  private static ConnectionOpening.Decision decide(
      int waitingBefore, long waited, int serving, boolean open, boolean replace, long millis) {
    return ConnectionOpening.decide(
        new ConnectionOpening.Demand(waitingBefore, waited, SERVICE_MILLIS),
        new ConnectionOpening.Supply(serving, open, replace, millis));
  }

  private static ConnectionOpening.Decision decide(long waited, long serviceMillis) {
    return ConnectionOpening.decide(
        new ConnectionOpening.Demand(0, waited, serviceMillis),
        new ConnectionOpening.Supply(1, true, true, FAR_MILLIS));
  }

  /** Guards against decisions for the work of another time: statements of 11 and of 55 ms. */
  @Test
  void should_wait_for_short_statements_and_open_beside_long_ones() {
    assertThat(decide(0, 11)).isEqualTo(AWAIT);
    assertThat(decide(0, 55)).isEqualTo(OPEN);
    assertThat(decide(22, 11)).isEqualTo(OPEN);
  }

  /** Guards against waits that grow with the answers of a member that hangs. */
  @Test
  void should_take_any_idle_connection_after_a_tenth_of_a_second_at_the_latest() {
    assertThat(ConnectionOpening.takesAnyIdle(99, 1_000)).isFalse();
    assertThat(ConnectionOpening.takesAnyIdle(100, 1_000)).isTrue();
  }

  @Test
  void should_open_before_it_replaces() {
    assertThat(decide(0, 0, 0, true, true, NEAR_MILLIS)).isEqualTo(OPEN);
    assertThat(decide(0, 0, 0, false, true, NEAR_MILLIS)).isEqualTo(REPLACE);
    assertThat(decide(0, 0, 0, false, false, NEAR_MILLIS)).isEqualTo(NONE);
  }

  @Test
  void should_wait_for_a_connection_that_is_idle_sooner_than_another_could_be_opened() {
    assertThat(decide(0, 0, 1, true, true, FAR_MILLIS)).isEqualTo(AWAIT);
    assertThat(decide(0, 0, 2, true, true, NEAR_MILLIS)).isEqualTo(AWAIT);
  }

  @Test
  void should_open_when_many_statements_wait_for_few_connections() {
    assertThat(decide(1, 0, 1, true, true, FAR_MILLIS)).isEqualTo(OPEN);
    assertThat(decide(0, 0, 1, true, true, NEAR_MILLIS)).isEqualTo(OPEN);
  }

  /** Guards against a statement that waits for connections whose statements take very long. */
  @Test
  void should_open_when_the_connections_of_the_workspace_are_not_idle_in_time() {
    assertThat(decide(0, 50, 3, false, true, FAR_MILLIS)).isEqualTo(REPLACE);
  }

  @Test
  void should_regard_a_workspace_as_starved_only_without_connections() {
    assertThat(ConnectionOpening.starved(0, 100)).isTrue();
    assertThat(ConnectionOpening.starved(0, 99)).isFalse();
    assertThat(ConnectionOpening.starved(1, 1_000)).isFalse();
  }
}
