package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;

/** The answers that members have given to callers' requests. */
final class SignedAnswers {
  private SignedAnswers() {}

  /** Returns the line with the signature of the only successful run of a caller's last request. */
  static String doneLine(LineProtocolPlatform platform, LineCaller caller) {
    List<MemberRecording.RanStatement> ran =
        platform.ran(caller.lastRequestId()).stream()
            .filter(statement -> statement.answer().succeeded())
            .toList();
    assertThat(ran).as("runs of " + caller.lastRequestId()).hasSize(1);
    String outcome = ran.get(0).answer().outcome();
    assertThat(outcome).startsWith("DONE m-").endsWith("." + caller.lastRequestId());
    return outcome;
  }
}
