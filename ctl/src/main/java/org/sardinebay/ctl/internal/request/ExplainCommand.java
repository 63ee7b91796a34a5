package org.sardinebay.ctl.internal.request;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.net.log.LogLine;

/**
 * Explains from logs what became of a request: the decisions of all processes about it in order,
 * what was going on around it, and the cause.
 *
 * <pre>{@code
 * new ExplainCommand("51d95b19f139cfc1", List.of(Path.of("host-1.log")), in, out).run();
 * }</pre>
 */
public final class ExplainCommand implements Command {
  private static final String STANDARD_INPUT = "-";

  /** Fields that stand elsewhere in the output, or tell nothing. */
  private static final Set<String> NOT_PRINTED = Set.of("event", "level", "request");

  private final String request;
  private final List<String> files;
  private final InputStream in;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param request the request's id
   * @param files the logs, one for each process; {@code -} for standard input
   * @param in standard input
   * @param out where results go
   */
  public ExplainCommand(String request, List<String> files, InputStream in, PrintStream out) {
    this.request = request;
    this.files = files;
    this.in = in;
    this.out = out;
  }

  @Override
  public Optional<Failure> run() {
    List<SourcedLine> lines = new ArrayList<>();
    for (String file : files) {
      try {
        read(file, lines);
      } catch (IOException e) {
        return Optional.of(new Failure.NoLog(file));
      }
    }
    RequestHistory history = RequestHistory.of(request, lines);
    if (history.decisions().isEmpty()) {
      return Optional.of(new Failure.RequestNotLogged(request, lines.size()));
    }
    out.println("request " + request);
    print(history.decisions());
    if (!history.surroundings().isEmpty()) {
      out.println("around it");
      print(history.surroundings());
    }
    out.println("cause: " + CauseFinder.cause(history).orElse("these lines don't tell"));
    return Optional.empty();
  }

  private void read(String file, List<SourcedLine> lines) throws IOException {
    boolean standard = file.equals(STANDARD_INPUT);
    try (InputStream stream = standard ? in : Files.newInputStream(Path.of(file));
        BufferedReader reader =
            new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8))) {
      for (String text = reader.readLine(); text != null; text = reader.readLine()) {
        String source = standard ? host(text) : Path.of(file).getFileName().toString();
        LogLine.parse(text).ifPresent(line -> lines.add(new SourcedLine(source, line)));
      }
    }
  }

  /** The word before the time: collectors of several logs put the host's name there. */
  private static String host(String text) {
    int time = Math.max(0, text.indexOf("time="));
    String before = text.substring(0, time).trim();
    String word = before.substring(before.lastIndexOf(' ') + 1);
    return word.isEmpty() ? STANDARD_INPUT : word;
  }

  private void print(List<SourcedLine> lines) {
    for (SourcedLine sourced : lines) {
      KeyValueLine text = KeyValueLine.of(sourced.line().event());
      sourced
          .line()
          .fields()
          .forEach(
              (key, value) -> {
                if (!NOT_PRINTED.contains(key)) {
                  text.add(key, value);
                }
              });
      Instant time = Instant.ofEpochMilli(sourced.line().timeMillis());
      out.println("  " + time + ' ' + sourced.source() + ' ' + text);
    }
  }
}
