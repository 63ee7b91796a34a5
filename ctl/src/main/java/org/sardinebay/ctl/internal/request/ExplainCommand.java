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
 * Explains the outcome of a request from logs: prints the log lines of all processes about the
 * request in order, related events around it, and the cause.
 *
 * <pre>{@code
 * new ExplainCommand("51d95b19f139cfc1", List.of(Path.of("host-1.log")), in, out).run();
 * }</pre>
 */
public final class ExplainCommand implements Command {
  private static final String STANDARD_INPUT = "-";

  /** Fields that are printed elsewhere or are not informative. */
  private static final Set<String> NOT_PRINTED = Set.of("event", "level", "request");

  private final String request;
  private final List<String> files;
  private final InputStream in;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param request the request id
   * @param files the log files, one per process; {@code -} for standard input
   * @param in standard input
   * @param out the stream for results
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
        return Optional.of(new Failure.UnreadableLog(file));
      }
    }
    RequestHistory history = RequestHistory.of(request, lines);
    if (history.requestLines().isEmpty()) {
      return Optional.of(new Failure.RequestNotLogged(request, lines.size()));
    }
    out.println("request " + LogLine.printable(request));
    print(history.requestLines());
    if (!history.contextLines().isEmpty()) {
      out.println("around it");
      print(history.contextLines());
    }
    String cause = CauseFinder.cause(history).orElse("these lines don't tell");
    out.println("cause: " + LogLine.printable(cause));
    return Optional.empty();
  }

  private void read(String file, List<SourcedLine> lines) throws IOException {
    boolean standardInput = file.equals(STANDARD_INPUT);
    try (InputStream stream = standardInput ? in : Files.newInputStream(Path.of(file));
        BufferedReader reader =
            new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8))) {
      for (String text = reader.readLine(); text != null; text = reader.readLine()) {
        String source = standardInput ? hostName(text) : Path.of(file).getFileName().toString();
        LogLine.parse(text).ifPresent(line -> lines.add(new SourcedLine(source, line)));
      }
    }
  }

  /** Returns the word before the time, where log collectors put the host name. */
  private static String hostName(String text) {
    int time = Math.max(0, text.indexOf("time="));
    String before = text.substring(0, time).trim();
    String word = before.substring(before.lastIndexOf(' ') + 1);
    return word.isEmpty() ? STANDARD_INPUT : word;
  }

  private void print(List<SourcedLine> lines) {
    for (SourcedLine sourced : lines) {
      KeyValueLine text = KeyValueLine.of(LogLine.printable(sourced.line().event()));
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
