package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThatCode;

import org.junit.jupiter.api.Test;
import org.sardinebay.Clock;
import org.sardinebay.standins.platform.FreePorts;

class LineMemberTest {
  private static final int MANY = 300;

  @Test
  void should_start_again_at_its_address_as_soon_as_it_has_crashed() throws Exception {
    MemberGroup group = new MemberGroup(Clock.system());
    group.add("m-1", true, 0);
    LineMember member = new LineMember("m-1", "orders", FreePorts.next(), group, 12);
    member.start();

    assertThatCode(
            () -> {
              for (int i = 0; i < MANY; i++) {
                member.crash();
                member.start();
              }
            })
        .doesNotThrowAnyException();

    member.close();
  }
}
