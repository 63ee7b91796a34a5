package org.sardinebay.proxy.internal.process;

import java.io.IOException;
import java.util.List;
import org.sardinebay.net.Binary;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.record.FieldReader;

/**
 * The program {@code sardinebay-proxy}.
 *
 * <pre>{@code
 * BinaryMain.run(new ProxyBinary(), "--settings", "proxy.json");
 * }</pre>
 */
public final class ProxyBinary implements Binary<ProxySettings> {
  @Override
  public String name() {
    return "sardinebay-proxy";
  }

  @Override
  public String summary() {
    return "takes callers' requests and runs them on the endpoints of their databases";
  }

  @Override
  public ProxySettings settings(FieldReader reader) {
    return ProxySettings.read(reader);
  }

  @Override
  public RunningProcess start(ProxySettings settings) throws IOException {
    return ProxyProcess.start(settings);
  }

  @Override
  public List<String> settingsHelp() {
    return List.of(
        "host                 the entry host's name, as its proxies record has it",
        "failureDomain        where the host stands",
        "listen               address for callers, /health, /ready, /metrics and /dump",
        "peerListen           address for other proxies and controllers",
        "controllers          addresses of controllers of the own failure domain",
        "peers                addresses of proxies, asked when no controller answers",
        "tokenKeys            list of id and secret; the first signs session tokens, all verify",
        "shutdownGraceMillis  how long /ready says no before new work is refused (1000)",
        "addressTranslation   list of from and to addresses");
  }
}
