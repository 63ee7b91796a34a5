package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.gateway.internal.process.GatewayProgram;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;
import org.sardinebay.standins.platform.FreePorts;

/** Starts gateways for one platform, each with the previously started ones as seeds. */
final class GatewayFleet {
  private static final long TIMEOUT_MILLIS = 20_000;

  private final Address platform;
  private final List<Address> seeds = new ArrayList<>();

  GatewayFleet(Address platform) {
    this.platform = platform;
  }

  RunningProcess start(Address listen, String host, String failureDomain) throws IOException {
    return start(listen, host, failureDomain, platform);
  }

  /** Starts a gateway that reaches the store at an address of its own. */
  RunningProcess start(Address listen, String host, String failureDomain, Address store)
      throws IOException {
    Address peers = FreePorts.next();
    ObjectNode settings =
        Json.newObject()
            .put("host", host)
            .put("failureDomain", failureDomain)
            .put("ip", "127.0.0.1")
            .put("metricsPort", FreePorts.next().port())
            .put("callers", listen.toString())
            .put("readiness", FreePorts.next().toString())
            .put("peers", peers.toString())
            .put("store", store.toString())
            .put("promotions", platform.toString())
            .put("balancerNoticesMillis", 100)
            .put("shutdownSeconds", 3);
    settings.putObject("regions").put("hall-m-1", "r1").put("hall-m-2", "r1");
    ArrayNode seedList = settings.putArray("seeds");
    seeds.forEach(seed -> seedList.add(seed.toString()));
    seeds.add(peers);
    GatewayProgram program = new GatewayProgram();
    FieldReader reader = FieldReader.of(settings);
    var checked = program.settings(reader);
    assertThat(reader.problems()).isEmpty();
    return program.start(checked);
  }

  static void await(Callable<Boolean> condition, Supplier<String> state) throws Exception {
    long end = Clock.system().millis() + TIMEOUT_MILLIS;
    while (Clock.system().millis() < end) {
      try {
        if (condition.call()) {
          return;
        }
      } catch (IOException e) {
        // The gateway is not listening yet.
      }
      Thread.sleep(50);
    }
    fail("condition not met within " + TIMEOUT_MILLIS + " ms; " + state.get());
  }
}
