package org.sardinebay.ctl.internal.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sardinebay.Address;
import org.sardinebay.ctl.internal.request.Failure;

/**
 * Parses the command line.
 *
 * <pre>{@code
 * ArgumentsResult result = new CommandLine().parse(args);
 * }</pre>
 */
public final class CommandLine {
  private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;
  private static final long MAX_TIMEOUT_MILLIS = 60_000;
  private static final List<String> COMMAND_OPTIONS = List.of("f", "if-version", "schema");

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Void> help = parser.accepts("help");
  private final OptionSpec<Void> version = parser.accepts("version");
  private final OptionSpec<String> platform = parser.accepts("platform").withRequiredArg();
  private final OptionSpec<String> file = parser.acceptsAll(List.of("f", "file")).withRequiredArg();
  private final OptionSpec<Long> ifVersion =
      parser.accepts("if-version").withRequiredArg().ofType(Long.class);
  private final OptionSpec<Integer> schema =
      parser.accepts("schema").withRequiredArg().ofType(Integer.class);
  private final OptionSpec<Long> timeout =
      parser
          .accepts("timeout")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(DEFAULT_TIMEOUT_MILLIS);
  private final OptionSpec<String> nonOptionArguments = parser.nonOptions();

  /**
   * Parses and validates the arguments.
   *
   * @param args the command-line arguments
   * @return the parsed arguments, a request for help or the version, or the failure
   */
  public ArgumentsResult parse(String... args) {
    OptionSet options;
    try {
      options = parser.parse(args);
      if (options.has(help)) {
        return new ArgumentsResult.HelpRequested();
      }
      if (options.has(version)) {
        return new ArgumentsResult.VersionRequested();
      }
      return validate(options);
    } catch (OptionException e) {
      return invalid(e.getMessage());
    }
  }

  /**
   * Returns the help page.
   *
   * @return its lines
   */
  public List<String> help() {
    return List.of(
        "sardinebayctl: changes configuration records and shows their status",
        "",
        "usage: sardinebayctl --platform ADDRESS COMMAND",
        "  apply -f FILE [--if-version N]   writes the records of a JSON file with comments:",
        "                                   {\"kind\",\"name\",\"spec\"} or a list of these;",
        "                                   replaces version N (0 creates), else the version",
        "                                   in the file, else the current version",
        "  get KIND NAME [--schema N]       shows a record, converted to a schema version",
        "  list KIND                        lists the records of a kind with their versions",
        "  delete KIND NAME --if-version N  deletes version N of a record",
        "  watch KIND                       shows changes until it is interrupted",
        "  status KIND NAME                 shows whether a record is accepted, and promotions",
        "  dump ADDRESS                     shows the state of a process; needs no --platform",
        "  explain REQUEST-ID LOG...        explains the outcome of a request from logs",
        "                                   (- for standard input); needs no --platform",
        "  --timeout MILLIS                 how long to wait for a response, "
            + DEFAULT_TIMEOUT_MILLIS
            + " if absent",
        "  --version                        prints the version and exits",
        "  --help                           prints this page and exits",
        "",
        "kinds: databases, proxies, staleness; get, list and watch also take accepted, promotions",
        "exit status: 0 success, 1 failure, 2 invalid arguments or record, 3 conflict");
  }

  private ArgumentsResult validate(OptionSet options) {
    List<String> arguments = options.valuesOf(nonOptionArguments);
    if (arguments.isEmpty()) {
      return invalid("the command is missing");
    }
    Optional<CommandName> command = CommandName.of(arguments.get(0));
    if (command.isEmpty()) {
      return invalid("unknown command " + arguments.get(0));
    }
    Optional<String> problem = problem(command.get(), arguments.size() - 1, options);
    if (problem.isPresent()) {
      return invalid(problem.get());
    }
    return new ArgumentsResult.Parsed(
        new Arguments(
            command.get(),
            List.copyOf(arguments.subList(1, arguments.size())),
            address(options),
            Optional.ofNullable(options.valueOf(file)).map(Path::of),
            options.has(ifVersion)
                ? OptionalLong.of(options.valueOf(ifVersion))
                : OptionalLong.empty(),
            options.has(schema) ? OptionalInt.of(options.valueOf(schema)) : OptionalInt.empty(),
            options.valueOf(timeout)));
  }

  private Optional<String> problem(CommandName command, int operands, OptionSet options) {
    int expected = command.operands().size();
    if (operands < expected || (operands > expected && !command.takesMoreOperands())) {
      return Optional.of(command.word() + " takes the operands " + command.operands());
    }
    if (command.needsPlatform() && address(options).isEmpty()) {
      return Optional.of("--platform must be an address such as 127.0.0.1:7000");
    }
    for (String option : COMMAND_OPTIONS) {
      if (options.has(option) && !command.options().contains(option)) {
        return Optional.of(command.word() + " does not accept the option " + option);
      }
      if (!options.has(option) && command.requiredOptions().contains(option)) {
        return Optional.of(command.word() + " requires the option " + option);
      }
    }
    if (options.has(ifVersion) && options.valueOf(ifVersion) < 0) {
      return Optional.of("--if-version must not be negative");
    }
    long timeoutMillis = options.valueOf(timeout);
    return timeoutMillis < 1 || timeoutMillis > MAX_TIMEOUT_MILLIS
        ? Optional.of("--timeout must be from 1 to " + MAX_TIMEOUT_MILLIS)
        : Optional.empty();
  }

  private Optional<Address> address(OptionSet options) {
    return Optional.ofNullable(options.valueOf(platform)).flatMap(Address::parse);
  }

  private static ArgumentsResult invalid(String reason) {
    return new ArgumentsResult.Invalid(new Failure.InvalidArguments(reason));
  }
}
