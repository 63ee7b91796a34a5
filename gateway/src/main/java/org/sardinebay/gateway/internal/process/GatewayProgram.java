package org.sardinebay.gateway.internal.process;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.sardinebay.net.Program;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.record.FieldReader;

/** The gateway as a command-line program. */
public final class GatewayProgram implements Program<GatewaySettings> {
  private Optional<GatewayProcess> process = Optional.empty();

  @Override
  public String name() {
    return "sardinebay-gateway";
  }

  @Override
  public String summary() {
    return "serves sessions of callers in front of replicated database services";
  }

  @Override
  public GatewaySettings settings(FieldReader reader) {
    return GatewaySettings.read(reader);
  }

  @Override
  public RunningProcess start(GatewaySettings settings) throws IOException {
    GatewayProcess started = GatewayProcess.start(settings);
    process = Optional.of(started);
    return started;
  }

  @Override
  public void reload(GatewaySettings settings) {
    process.ifPresent(running -> running.reload(settings));
  }

  @Override
  public List<String> settingsHelp() {
    return GatewaySettings.help();
  }
}
