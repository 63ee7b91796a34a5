package org.sardinebay.ctl.internal.request;

import io.activej.http.HttpMethod;
import java.io.PrintStream;
import java.util.Optional;
import org.sardinebay.Address;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;

/**
 * Prints the state of one process as JSON.
 *
 * <pre>{@code
 * new DumpCommand(http, "127.0.0.1:7001", 5_000, System.out).run();
 * }</pre>
 */
public final class DumpCommand implements Command {
  private final JsonHttpClient http;
  private final String address;
  private final long timeoutMillis;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param http the HTTP client
   * @param address the HTTP address of the process
   * @param timeoutMillis the timeout of the request in milliseconds
   * @param out the stream for results
   */
  public DumpCommand(JsonHttpClient http, String address, long timeoutMillis, PrintStream out) {
    this.http = http;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
    this.out = out;
  }

  @Override
  public Optional<Failure> run() {
    Optional<Address> target = Address.parse(address);
    if (target.isEmpty()) {
      return Optional.of(
          new Failure.InvalidArguments(
              address + " is not a valid address, such as 127.0.0.1:7001"));
    }
    HttpCallResult result =
        http.call(HttpMethod.GET, target.get(), "/dump", Optional.empty(), timeoutMillis).join();
    if (result instanceof HttpCallResult.Response response
        && response.status() == HttpServerResponse.OK) {
      out.println(Json.pretty(response.body()));
      return Optional.empty();
    }
    return Optional.of(new Failure.DumpUnavailable(address));
  }
}
