package org.sardinebay.ctl.internal.process;

import java.io.PrintStream;
import java.util.List;
import org.sardinebay.ctl.internal.request.ApplyCommand;
import org.sardinebay.ctl.internal.request.BlockingPlatformClient;
import org.sardinebay.ctl.internal.request.Command;
import org.sardinebay.ctl.internal.request.DeleteCommand;
import org.sardinebay.ctl.internal.request.DumpCommand;
import org.sardinebay.ctl.internal.request.ExplainCommand;
import org.sardinebay.ctl.internal.request.GetCommand;
import org.sardinebay.ctl.internal.request.ListCommand;
import org.sardinebay.ctl.internal.request.StatusCommand;
import org.sardinebay.ctl.internal.request.WatchCommand;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.platform.HttpPlatformClient;
import org.sardinebay.platform.ObjectKey;

/**
 * Creates the command that the arguments specify.
 *
 * <pre>{@code
 * Optional<Failure> failure = Commands.of(arguments, http, out, err).run();
 * }</pre>
 */
public final class Commands {
  private Commands() {}

  /**
   * Creates a command.
   *
   * @param arguments the validated arguments
   * @param http the HTTP client
   * @param out the stream for results
   * @param err the stream for reports of platform outages
   * @return the command
   */
  public static Command of(
      Arguments arguments, JsonHttpClient http, PrintStream out, PrintStream err) {
    if (arguments.command() == CommandName.DUMP) {
      return new DumpCommand(http, arguments.operands().get(0), arguments.timeoutMillis(), out);
    }
    if (arguments.command() == CommandName.EXPLAIN) {
      List<String> operands = arguments.operands();
      return new ExplainCommand(
          operands.get(0), operands.subList(1, operands.size()), System.in, out);
    }
    BlockingPlatformClient platform =
        new BlockingPlatformClient(
            new HttpPlatformClient(
                http, arguments.platform().orElseThrow(), AddressTranslation.none()),
            arguments.timeoutMillis());
    return switch (arguments.command()) {
      case APPLY ->
          new ApplyCommand(platform, arguments.file().orElseThrow(), arguments.ifVersion(), out);
      case GET -> new GetCommand(platform, key(arguments), arguments.schema(), out);
      case LIST -> new ListCommand(platform, arguments.operands().get(0), out);
      case DELETE ->
          new DeleteCommand(platform, key(arguments), arguments.ifVersion().orElseThrow(), out);
      case WATCH -> new WatchCommand(platform, arguments.operands().get(0), out, err);
      case STATUS -> new StatusCommand(platform, key(arguments), out);
      case DUMP, EXPLAIN ->
          throw new IllegalStateException(
              arguments.command().word() + " does not call the platform");
    };
  }

  private static ObjectKey key(Arguments arguments) {
    return new ObjectKey(arguments.operands().get(0), arguments.operands().get(1));
  }
}
