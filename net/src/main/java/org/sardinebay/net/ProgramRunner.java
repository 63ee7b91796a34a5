package org.sardinebay.net;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
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

  /** Interval at which the settings file is checked for changes, in milliseconds. */
  private static final long FILE_CHECK_MILLIS = 1_000;

  /** How long a shutdown waits for a start in progress, in milliseconds: shorter than a grace. */
  private static final long START_MILLIS = 2_000;

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
    SettingsFile<S> settingsFile = new SettingsFile<>(program, Path.of(options.valueOf(file)), err);
    SettingsReload<S> reload = new SettingsReload<>(program, settingsFile);
    // Before the file is read: a later signal may announce newer settings.
    boolean handled = options.has(check) || HangupSignal.handle(reload::request);
    Optional<S> settings = settingsFile.read();
    if (settings.isEmpty()) {
      return EXIT_USAGE;
    }
    if (options.has(check)) {
      out.println("settings ok");
      return EXIT_OK;
    }
    if (!handled) {
      LOG.atWarn().setMessage("hangup_not_handled").log();
    }
    return serve(program, settings.get(), reload);
  }

  private static <S> int serve(Program<S> program, S settings, SettingsReload<S> reload) {
    CompletableFuture<RunningProcess> running = new CompletableFuture<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutdown(running), "shutdown"));
    try {
      running.complete(program.start(settings));
    } catch (IOException e) {
      running.completeExceptionally(e);
      LOG.atError()
          .setMessage("start_failed")
          .addKeyValue("program", program.name())
          .addKeyValue("cause", e.getMessage())
          .log();
      return EXIT_FAILURE;
    } finally {
      // An unchecked exception ends the process, which must not wait for a start any more.
      running.cancel(false);
    }
    LOG.atInfo().setMessage("started").addKeyValue("program", program.name()).log();
    reload.onStarted();
    checkFileForever(reload);
    return EXIT_OK;
  }

  /** Callers may be served before the start has ended, so a process that starts is awaited. */
  private static void shutdown(CompletableFuture<RunningProcess> running) {
    try {
      running.get(START_MILLIS, TimeUnit.MILLISECONDS).shutdown();
    } catch (ExecutionException | CancellationException | TimeoutException e) {
      LOG.atInfo().setMessage("stopped_before_start").log();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void checkFileForever(SettingsReload<?> reload) {
    try {
      while (true) {
        Thread.sleep(FILE_CHECK_MILLIS);
        reload.checkFile();
      }
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
