package org.sardinebay.standins.platform;

import java.io.IOException;
import java.util.List;
import org.sardinebay.Clock;
import org.sardinebay.net.Program;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.record.FieldReader;

/** The program {@code sardinebay-standin-platform}. */
final class PlatformProgram implements Program<PlatformSettings> {
  @Override
  public String name() {
    return "sardinebay-standin-platform";
  }

  @Override
  public String summary() {
    return "simulates the platform in tests: objects, watches, hosts and faults";
  }

  @Override
  public PlatformSettings settings(FieldReader reader) {
    return PlatformSettings.read(reader);
  }

  @Override
  public RunningProcess start(PlatformSettings settings) throws IOException {
    return PlatformServer.start(settings, Clock.system());
  }

  @Override
  public List<String> settingsHelp() {
    return List.of(
        "listen             address to listen on, such as 127.0.0.1:7000",
        "readsPerSecond     rate limit for reads and watches (2000)",
        "writesPerSecond    rate limit for writes and deletions (400)",
        "hostListLagMillis  delay before the host list shows a change (1000)",
        "hosts              list of {name, failureDomain}: hosts that are live at the start");
  }
}
