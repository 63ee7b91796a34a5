package org.sardinebay.standins.driver;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sardinebay.net.ProgramRunner;

/**
 * The driver's command line: runs demos, invariant checks and measurements on real processes.
 *
 * <pre>{@code
 * java -cp standins.jar org.sardinebay.standins.driver.DriverMain prove --seed 7 --seconds 30
 * }</pre>
 */
public final class DriverMain {
  private static final Map<String, Command> COMMANDS =
      Map.of(
          "demo", new DemoCommand(),
          "prove", new ProveCommand(),
          "measure", new MeasureCommand(),
          "capacity", new CapacityCommand());

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Void> help = parser.accepts("help", "prints this help");
  private final OptionSpec<String> deployment =
      parser.accepts("deployment", "brazos or pelikula").withRequiredArg().defaultsTo("brazos");
  private final OptionSpec<String> deployments =
      parser
          .accepts("deployments", "folder of the deployment files")
          .withRequiredArg()
          .defaultsTo("deploy");
  private final OptionSpec<String> runs =
      parser.accepts("runs", "folder for settings and logs").withRequiredArg().defaultsTo("run");
  private final OptionSpec<Long> seed =
      parser
          .accepts("seed", "seed of the random callers and faults")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(1L);
  private final OptionSpec<Integer> seconds =
      parser
          .accepts("seconds", "duration of the faults or the load")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(30);
  private final OptionSpec<Integer> callers =
      parser
          .accepts("callers", "number of concurrent sessions")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(24);
  private final OptionSpec<String> only =
      parser.accepts("only", "prove: the only invariant to check").withRequiredArg();
  private final OptionSpec<String> policy =
      parser
          .accepts("policy", "majority, one-replica or primary-only")
          .withRequiredArg()
          .defaultsTo("majority");
  private final OptionSpec<Void> keep =
      parser.accepts("keep", "demo: keeps the processes running until Ctrl-C");

  private DriverMain() {}

  /**
   * Runs one command and exits with its status.
   *
   * @param args the command and its options
   */
  public static void main(String[] args) {
    System.exit(new DriverMain().run(args));
  }

  private int run(String... args) {
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      System.err.println("driver: " + e.getMessage() + "; see --help");
      return ProgramRunner.EXIT_USAGE;
    }
    List<?> arguments = options.nonOptionArguments();
    Optional<Command> command =
        arguments.size() == 1
            ? Optional.ofNullable(COMMANDS.get(arguments.get(0)))
            : Optional.empty();
    if (options.has(help)) {
      return printHelp(command);
    }
    if (command.isEmpty()) {
      System.err.println(
          "driver: specify one command: demo, prove, measure or capacity; see --help");
      return ProgramRunner.EXIT_USAGE;
    }
    return run(command.get(), read(options));
  }

  private int run(Command command, Options options) {
    try {
      return command.run(options, System.out);
    } catch (IOException e) {
      System.err.println("driver: " + e.getMessage());
      return ProgramRunner.EXIT_FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ProgramRunner.EXIT_FAILURE;
    }
  }

  private Options read(OptionSet options) {
    return new Options(
        options.valueOf(deployment),
        Path.of(options.valueOf(deployments)),
        Path.of(options.valueOf(runs)),
        options.valueOf(seed),
        options.valueOf(seconds),
        options.valueOf(callers),
        options.has(only) ? Optional.of(options.valueOf(only)) : Optional.empty(),
        options.valueOf(policy),
        options.has(keep));
  }

  private int printHelp(Optional<Command> command) {
    command.ifPresent(known -> System.out.println(known.summary()));
    if (command.isEmpty()) {
      COMMANDS.forEach((name, known) -> System.out.println(name + ": " + known.summary()));
    }
    try {
      parser.printHelpOn(System.out);
    } catch (IOException e) {
      return ProgramRunner.EXIT_FAILURE;
    }
    return ProgramRunner.EXIT_OK;
  }
}
