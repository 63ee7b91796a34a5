package org.sardinebay.gateway.internal.process;

import java.io.IOException;
import java.util.List;
import org.sardinebay.net.Binary;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.record.FieldReader;

/** The gateway as a program. */
public final class GatewayBinary implements Binary<GatewaySettings> {
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
    return GatewayProcess.start(settings);
  }

  @Override
  public List<String> settingsHelp() {
    return GatewaySettings.help();
  }
}
