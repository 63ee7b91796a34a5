package org.sardinebay.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldProblem;
import org.sardinebay.record.FieldReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Parses the command line that all programs share, and runs the program.
 *
 * <pre>{@code
 * System.exit(ProgramRunner.run(new ProxyProgram(), args));
 * }</pre>
 */
public final class ProgramRunner {
  /** The exit status on success. */
  public static final int EXIT_OK = 0;

  /** The exit status if the program can't start or an operation fails. */
  public static final int EXIT_FAILURE = 1;

  /** The exit status if the arguments or settings are invalid. */
  public static final int EXIT_USAGE = 2;

  /** The version that {@code --version} prints. */
  public static final String VERSION = "0.1.0";

  private static final Logger LOG = LoggerFactory.getLogger(ProgramRunner.class);

  private ProgramRunner() {}

  /**
   * Runs a program until the process is stopped.
   *
   * @param program the program
   * @param args the command-line arguments
   * @param <S> the type of its settings
   * @return the exit status
   */
  public static <S> int run(Program<S> program, String... args) {
    return run(program, System.out, System.err, args);
  }

  static <S> int run(Program<S> program, PrintStream out, PrintStream err, String... args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Void> help = parser.accepts("help");
    OptionSpec<Void> version = parser.accepts("version");
    OptionSpec<Void> check = parser.accepts("check-settings");
    OptionSpec<String> file = parser.accepts("settings").withRequiredArg();
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      err.println(program.name() + ": " + e.getMessage() + "; see --help");
      return EXIT_USAGE;
    }
    if (options.has(help)) {
      printHelp(program, out);
      return EXIT_OK;
    }
    if (options.has(version)) {
      out.println(program.name() + " " + VERSION);
      return EXIT_OK;
    }
    if (!options.has(file)) {
      err.println(program.name() + ": --settings FILE is missing; see --help");
      return EXIT_USAGE;
    }
    Optional<S> settings = load(program, Path.of(options.valueOf(file)), err);
    if (settings.isEmpty()) {
      return EXIT_USAGE;
    }
    if (options.has(check)) {
      out.println("settings ok");
      return EXIT_OK;
    }
    return serve(program, settings.get(), () -> load(program, Path.of(options.valueOf(file)), err));
  }

  private static <S> Optional<S> load(Program<S> program, Path file, PrintStream err) {
    JsonNode tree;
    try {
      tree = Json.parseWithComments(Files.readString(file));
    } catch (JsonProcessingException e) {
      err.println(
          program.name()
              + ": settings file "
              + file
              + " is not JSON at line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr());
      return Optional.empty();
    } catch (IOException e) {
      err.println(program.name() + ": settings file " + file + " can't be read");
      return Optional.empty();
    }
    FieldReader reader = FieldReader.of(tree);
    S settings = program.settings(reader);
    reader.rejectUnknownFields();
    List<FieldProblem> problems = reader.problems();
    problems.forEach(problem -> err.println(program.name() + ": " + file + ": " + problem));
    return problems.isEmpty() ? Optional.of(settings) : Optional.empty();
  }

  private static <S> int serve(
      Program<S> program, S settings, Supplier<Optional<S>> reloadSettings) {
    RunningProcess process;
    try {
      process = program.start(settings);
    } catch (IOException e) {
      LOG.atError()
          .setMessage("start_failed")
          .addKeyValue("program", program.name())
          .addKeyValue("cause", e.getMessage())
          .log();
      return EXIT_FAILURE;
    }
    LOG.atInfo().setMessage("started").addKeyValue("program", program.name()).log();
    HangupSignal.handle(() -> reload(program, reloadSettings));
    Runtime.getRuntime().addShutdownHook(new Thread(process::shutdown, "shutdown"));
    awaitForever();
    return EXIT_OK;
  }

  private static <S> void reload(Program<S> program, Supplier<Optional<S>> reloadSettings) {
    Optional<S> settings = reloadSettings.get();
    LOG.atInfo()
        .setMessage("reload_requested")
        .addKeyValue("program", program.name())
        .addKeyValue(
            "settings", settings.isPresent() ? "read" : "invalid, keeping the previous ones")
        .log();
    settings.ifPresent(program::reload);
  }

  private static void awaitForever() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static <S> void printHelp(Program<S> program, PrintStream out) {
    out.println(program.name() + ": " + program.summary());
    out.println();
    out.println("usage: " + program.name() + " --settings FILE [--check-settings]");
    out.println("  --settings FILE   settings, JSON with comments");
    out.println("  --check-settings  checks the settings and exits");
    out.println("  --version         prints the version and exits");
    out.println("  --help            prints this page and exits");
    out.println();
    out.println("settings:");
    program.settingsHelp().forEach(line -> out.println("  " + line));
  }
}
