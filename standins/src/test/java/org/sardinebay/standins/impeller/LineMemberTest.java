package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThatCode;

import org.junit.jupiter.api.Test;
import org.sardinebay.Clock;
import org.sardinebay.standins.platform.FreePorts;

class LineMemberTest {
  private static final int RESTARTS = 300;

  @Test
  void should_restart_on_the_same_address_immediately_after_a_crash() throws Exception {
    MemberGroup group = new MemberGroup(Clock.system());
    group.add("m-1", true, 0);
    LineMember member = new LineMember("m-1", "orders", FreePorts.next(), group, 12);
    member.start();

    assertThatCode(
            () -> {
              for (int i = 0; i < RESTARTS; i++) {
                member.crash();
                member.start();
              }
            })
        .doesNotThrowAnyException();

    member.close();
  }
}
