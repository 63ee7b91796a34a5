package org.sardinebay.standins.endpoint;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.sardinebay.MemberId;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.Program;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.record.FieldReader;

/**
 * Main class of the endpoint stand-in.
 *
 * <pre>{@code
 * java -cp sardinebay-standins-0.1.0-all.jar org.sardinebay.standins.endpoint.EndpointMain \
 *     --settings member.json
 * }</pre>
 */
public final class EndpointMain implements Program<EndpointSettings> {
  private static final long MAX_MILLIS = 600_000;
  private static final long MAX_CONNECTIONS = 10_000;
  private static final long MAX_SLOTS = 1_000;
  private static final int PULL_BATCH = 500;

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(ProgramRunner.run(new EndpointMain(), args));
  }

  @Override
  public String name() {
    return "sardinebay-endpoint-standin";
  }

  @Override
  public String summary() {
    return "simulates one member of a database in tests";
  }

  @Override
  public EndpointSettings settings(FieldReader reader) {
    MemberSettings member =
        new MemberSettings(
            new MemberId(reader.text("member")),
            (int) reader.number("connectionLimit", 1, MAX_CONNECTIONS, 20),
            (int) reader.number("slots", 1, MAX_SLOTS, 3),
            reader.number("openMillis", 0, MAX_MILLIS, 12),
            reader.number("idleMillis", 1, MAX_MILLIS, 3_000),
            reader.number("serviceMillis", 0, MAX_MILLIS, 1),
            PULL_BATCH);
    MemberFaults faults =
        new MemberFaults(
            reader.number("applyLagMillis", 0, MAX_MILLIS, 5),
            reader.number("receiveLagMillis", 0, MAX_MILLIS, 0),
            false,
            false);
    return new EndpointSettings(
        reader.address("listen"),
        Path.of(reader.text("dataFile")),
        member,
        faults,
        AddressTranslation.read(reader));
  }

  @Override
  public RunningProcess start(EndpointSettings settings) throws IOException {
    return EndpointProcess.start(settings);
  }

  @Override
  public List<String> settingsHelp() {
    return List.of(
        "member              name of the member",
        "listen              address to listen on, such as 127.0.0.1:7101",
        "dataFile            file that holds the member's journal across restarts",
        "connectionLimit     maximum number of connections (20)",
        "slots               maximum number of concurrent statements (3)",
        "openMillis          time to open a connection (12)",
        "idleMillis          idle time after which a connection is closed (3000)",
        "serviceMillis       time that a statement occupies its slot (1)",
        "applyLagMillis      delay between receiving and applying an entry (5)",
        "receiveLagMillis    delay before received entries are processed (0)",
        "addressTranslation  list of {from, to}: address mapping for other members");
  }
}
