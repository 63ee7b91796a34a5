package org.sardinebay.standins.impeller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.standins.platform.FreePorts;

/** A platform and one gateway, whose callers' attempts are compared with the members' runs. */
final class CheckedGateway implements AutoCloseable {
  private final LineProtocolPlatform platform;
  private final Address callers = FreePorts.next();
  private final RunningProcess gateway;
  private final List<RecordedCaller.Attempt> attempts =
      Collections.synchronizedList(new ArrayList<>());

  private CheckedGateway(Consumer<AnswerFaults> faults) throws IOException {
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    faults(faults);
    gateway = new GatewayFleet(platform.address()).start(callers, "host-1", "hall-m-1");
  }

  /** Starts a gateway that has served a read and a write. */
  static CheckedGateway start() throws Exception {
    return start(faults -> {});
  }

  /** Starts a gateway whose members have faults from the start on. */
  static CheckedGateway start(Consumer<AnswerFaults> faults) throws Exception {
    CheckedGateway started = new CheckedGateway(faults);
    GatewayFleet.await(
        () ->
            started.runsOnce("READ probe")
                && started.runsOnce("WRITE probe " + Clock.system().millis()),
        () -> "dump: " + started.gateway.dump());
    return started;
  }

  private boolean runsOnce(String text) throws IOException {
    try (RecordedCaller caller = caller("strict")) {
      return caller.query(text).succeeded();
    }
  }

  RecordedCaller caller(String database) throws IOException {
    return new RecordedCaller(callers, database, attempts);
  }

  /** Changes the faults of all members. */
  void faults(Consumer<AnswerFaults> change) {
    platform.members().forEach(member -> change.accept(member.faults()));
  }

  /** Returns how many faults were selected at all members. */
  int selected() {
    return platform.members().stream().mapToInt(member -> member.faults().selected()).sum();
  }

  /** Returns how many answers all members have sent again. */
  int repeated() {
    return platform.members().stream().mapToInt(member -> member.faults().repeated()).sum();
  }

  LineProtocolPlatform platform() {
    return platform;
  }

  /** Returns the remaining time of the primary's lease. */
  long leaseMillis() {
    return gateway.dump().at("/services/0/leaseMillis").asLong();
  }

  List<String> violations() {
    return RuleCheck.violations(platform, List.copyOf(attempts));
  }

  @Override
  public void close() throws IOException {
    gateway.shutdown();
    platform.close();
  }
}
