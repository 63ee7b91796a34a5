package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sardinebay.session.RouteTable;
import org.sardinebay.session.SessionLimits;
import org.sardinebay.session.Workspaces;

/**
 * Guards against a withdrawn key that works again at a host that starts before a restored store.
 */
class ConfigurationConfirmationTest {
  private static final RouteTable WITHOUT_KEYS = table(Optional.empty());
  private static final RouteTable WITH_KEYS =
      table(Optional.of(new Workspaces(Map.of(), Map.of())));

  private final ConfigurationConfirmation confirmation = new ConfigurationConfirmation();

  private static RouteTable table(Optional<Workspaces> workspaces) {
    return new RouteTable(7, Map.of(), Map.of(), SessionLimits.DEFAULT, workspaces);
  }

  @Test
  void should_admit_nobody_without_a_configuration() {
    confirmation.onPeerReply();

    assertThat(confirmation.admits(RouteTable.EMPTY, 2, 60_000)).isFalse();
  }

  @Test
  void should_wait_for_the_first_reply_of_a_peer() {
    assertThat(confirmation.admits(WITH_KEYS, 2, 0)).isFalse();
    confirmation.onPeerReply();
    assertThat(confirmation.admits(WITH_KEYS, 2, 1)).isTrue();
  }

  @Test
  void should_not_wait_for_long_if_no_peer_replies() {
    assertThat(confirmation.admits(WITH_KEYS, 2, 5_000)).isFalse();
    assertThat(confirmation.admits(WITH_KEYS, 2, 5_999)).isFalse();
    assertThat(confirmation.admits(WITH_KEYS, 2, 6_000)).isTrue();
  }

  @Test
  void should_not_wait_without_keys_or_if_the_store_names_no_era() {
    assertThat(confirmation.admits(WITHOUT_KEYS, 2, 0)).isTrue();
    assertThat(new ConfigurationConfirmation().admits(WITH_KEYS, 0, 0)).isTrue();
  }
}
