package org.sardinebay.proxy.internal.process;

import java.io.IOException;
import java.util.List;
import org.sardinebay.net.Program;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.record.FieldReader;

/**
 * The program {@code sardinebay-proxy}.
 *
 * <pre>{@code
 * ProgramRunner.run(new ProxyProgram(), "--settings", "proxy.json");
 * }</pre>
 */
public final class ProxyProgram implements Program<ProxySettings> {
  @Override
  public String name() {
    return "sardinebay-proxy";
  }

  @Override
  public String summary() {
    return "accepts callers' requests and runs them on the endpoints of their databases";
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
        "host                 name of this host, as in its proxies record",
        "failureDomain        failure domain of this host",
        "listen               address for callers, /health, /ready, /metrics and /dump",
        "peerListen           address for other proxies and controllers",
        "controllers          addresses of controllers in the same failure domain",
        "peers                addresses of proxies, queried if no controller answers",
        "tokenKeys            list of id and secret; the first signs session tokens, all verify",
        "shutdownGraceMillis  time that /ready fails before new requests are refused (1000)",
        "addressTranslation   list of address translations, each with from and to");
  }
}
