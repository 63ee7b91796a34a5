package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sardinebay.Clock;
import org.sardinebay.internal.version.PrimaryLease;

class RepeatedStatusesTest {
  /** How old the state in a gateway's dump may be. */
  private static final long DUMP_AGE_MILLIS = 100;

  private final Clock clock = Clock.system();

  private static boolean asksForStatus(MemberRequest request) {
    return request.kind().equals("STATUS");
  }

  /** The true answers of the fenced replicas are lost; only older ones arrive again. */
  @Test
  void should_not_extend_the_lease_after_the_replicas_were_fenced() throws Exception {
    try (CheckedGateway gateway = CheckedGateway.start()) {
      LineProtocolPlatform platform = gateway.platform();
      List<LineMember> replicas = platform.members().subList(1, 3);
      replicas.forEach(
          replica ->
              replica
                  .faults()
                  .nth(RepeatedStatusesTest::asksForStatus, 1, AnswerFault.repeatBeforeNext()));
      GatewayFleet.await(
          () -> replicas.stream().anyMatch(replica -> replica.faults().selected() > 0),
          () -> "no status was asked for");
      gateway.faults(
          faults -> {
            faults.clear();
            faults.each(RepeatedStatusesTest::asksForStatus, new AnswerFault.CutBytes(0, false));
          });
      replicas.forEach(replica -> platform.group().fence(replica.id(), 2));
      long fencedAt = clock.millis();

      GatewayFleet.await(() -> gateway.repeated() > 0, () -> "no status came again");
      long end = fencedAt + PrimaryLease.DURATION_MILLIS + DUMP_AGE_MILLIS;
      Thread.sleep(Math.max(0, end - clock.millis()));

      assertThat(gateway.leaseMillis()).isZero();
    }
  }
}
