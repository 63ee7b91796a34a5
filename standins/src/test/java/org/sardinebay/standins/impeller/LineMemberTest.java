package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;
import org.sardinebay.Clock;
import org.sardinebay.standins.platform.FreePorts;

class LineMemberTest {
  private static final int RESTARTS = 300;
  private static final int TIMEOUT_MILLIS = 2_000;

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

  @Test
  void should_close_a_connection_that_was_just_accepted_when_it_crashes() throws Exception {
    MemberGroup group = new MemberGroup(Clock.system());
    group.add("m-1", true, 0);
    LineMember member = new LineMember("m-1", "orders", FreePorts.next(), group, 12);

    for (int i = 0; i < RESTARTS; i++) {
      member.start();
      try (Socket socket = new Socket(member.address().host(), member.address().port())) {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        member.crash();

        assertThat(isClosedByMember(socket)).as("round " + i).isTrue();
      }
    }
  }

  private static boolean isClosedByMember(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() == -1;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (SocketException e) {
      return true;
    }
  }
}
