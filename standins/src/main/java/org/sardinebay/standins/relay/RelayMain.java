package org.sardinebay.standins.relay;

import java.io.IOException;
import java.util.List;
import org.sardinebay.net.Program;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.record.FieldReader;

/**
 * Main class of the relay, which simulates the network between processes.
 *
 * <pre>{@code
 * java -cp sardinebay-standins-0.1.0-all.jar org.sardinebay.standins.relay.RelayMain \
 *     --settings relay.json
 * curl -d '{"sources":["waco-1"],"targets":["*"],"cut":"both"}' http://127.0.0.1:9000/links
 * }</pre>
 */
public final class RelayMain implements Program<RelaySettings> {
  /**
   * Runs the relay.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(ProgramRunner.run(new RelayMain(), args));
  }

  @Override
  public String name() {
    return "standin-relay";
  }

  @Override
  public String summary() {
    return "forwards bytes between processes, with simulated delays and partitions";
  }

  @Override
  public RelaySettings settings(FieldReader reader) {
    return new RelaySettings(
        reader.address("listen"),
        reader.objects("links", 0).stream().map(LinkSettings::read).toList());
  }

  @Override
  public RunningProcess start(RelaySettings settings) throws IOException {
    return RelayProcess.start(settings);
  }

  @Override
  public List<String> settingsHelp() {
    return List.of(
        "listen  address on which the relay accepts commands",
        "links   list of {source, target, listen, forward, delayMillis}");
  }
}
