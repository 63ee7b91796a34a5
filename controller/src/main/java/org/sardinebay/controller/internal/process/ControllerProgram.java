package org.sardinebay.controller.internal.process;

import java.io.IOException;
import java.util.List;
import org.sardinebay.net.Program;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.record.FieldReader;

/**
 * The program {@code sardinebay-controller}.
 *
 * <pre>{@code
 * ProgramRunner.run(new ControllerProgram(), "--settings", "controller.json");
 * }</pre>
 */
public final class ControllerProgram implements Program<ControllerSettings> {
  @Override
  public String name() {
    return "sardinebay-controller";
  }

  @Override
  public String summary() {
    return "watches databases, promotes primaries, accepts and distributes configuration";
  }

  @Override
  public ControllerSettings settings(FieldReader reader) {
    return ControllerSettings.read(reader);
  }

  @Override
  public RunningProcess start(ControllerSettings settings) throws IOException {
    return ControllerProcess.start(settings);
  }

  @Override
  public List<String> settingsHelp() {
    return List.of(
        "host                name of this host, as in its proxies record",
        "failureDomain       failure domain of this host",
        "listen              address of /health, /ready, /metrics and /dump",
        "peerListen          address for proxies and other controllers",
        "platform            address of the platform",
        "peers               addresses of other controllers, used for configuration",
        "addressTranslation  list of address translations, each with from and to");
  }
}
