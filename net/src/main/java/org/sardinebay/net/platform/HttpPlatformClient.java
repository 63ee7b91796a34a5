package org.sardinebay.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sardinebay.Address;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.HostListCodec;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/**
 * A client of the platform's object service, over HTTP/1.1 with JSON.
 *
 * <pre>{@code
 * PlatformClient platform = new HttpPlatformClient(http, address, AddressTranslation.none());
 * }</pre>
 */
public final class HttpPlatformClient implements PlatformClient {
  /** How long the answer to a watch may take to begin after its wait is over, in milliseconds. */
  private static final long WATCH_TIMEOUT_MARGIN_MILLIS = 2_000;

  private final JsonHttpClient http;
  private final Address address;

  /**
   * Creates a client.
   *
   * @param http the HTTP client
   * @param platform the platform's address
   * @param translation the address translation of this host
   */
  public HttpPlatformClient(JsonHttpClient http, Address platform, AddressTranslation translation) {
    this.http = http;
    this.address = translation.translate(platform);
  }

  @Override
  public CompletableFuture<PlatformResult> read(ObjectKey key, long timeoutMillis) {
    return call(HttpMethod.GET, path(key), Optional.empty(), timeoutMillis)
        .thenApply(result -> decode(result, HttpPlatformClient::found));
  }

  @Override
  public CompletableFuture<PlatformResult> write(
      ObjectKey key, long expectedVersion, ObjectNode body, long timeoutMillis) {
    ObjectNode request = Json.newObject().put("expectedVersion", expectedVersion);
    request.set("body", body);
    return call(HttpMethod.PUT, path(key), Optional.of(request), timeoutMillis)
        .thenApply(result -> decode(result, HttpPlatformClient::found))
        .thenApply(HttpPlatformClient::absentToBadCall);
  }

  @Override
  public CompletableFuture<PlatformResult> delete(
      ObjectKey key, long expectedVersion, long timeoutMillis) {
    String path = path(key) + "?expectedVersion=" + expectedVersion;
    return call(HttpMethod.DELETE, path, Optional.empty(), timeoutMillis)
        .thenApply(result -> decode(result, tree -> Optional.of(new PlatformResult.Absent())));
  }

  @Override
  public CompletableFuture<PlatformResult> watch(
      List<String> kinds, long afterRevision, long waitMillis) {
    String names =
        kinds.stream().map(HttpPlatformClient::urlEncode).collect(Collectors.joining(","));
    String path =
        "/v1/watch?kinds=" + names + "&after=" + afterRevision + "&waitMillis=" + waitMillis;
    return http.fetch(address, path, waitMillis + WATCH_TIMEOUT_MARGIN_MILLIS)
        .thenApply(result -> decode(result, HttpPlatformClient::listing))
        .thenApply(HttpPlatformClient::absentToBadCall);
  }

  @Override
  public CompletableFuture<PlatformResult> listStale(String kind) {
    return watch(List.of(kind), 0, 0);
  }

  @Override
  public CompletableFuture<PlatformResult> hosts(long timeoutMillis) {
    return http.fetch(address, "/v1/hosts", timeoutMillis)
        .thenApply(result -> decode(result, HttpPlatformClient::hostList))
        .thenApply(HttpPlatformClient::absentToBadCall);
  }

  private CompletableFuture<HttpCallResult> call(
      HttpMethod method, String path, Optional<JsonNode> body, long timeoutMillis) {
    return http.call(method, address, path, body, timeoutMillis);
  }

  private static PlatformResult decode(
      HttpCallResult result, Function<JsonNode, Optional<PlatformResult>> reader) {
    return PlatformResponseDecoder.decode(result, reader, HttpPlatformClient::conflict);
  }

  private static PlatformResult conflict(JsonNode body) {
    JsonNode version = body.path("currentVersion");
    return version.canConvertToLong()
        ? new PlatformResult.Conflict(version.longValue())
        : new PlatformResult.Failed(PlatformFailure.NO_ANSWER);
  }

  private static Optional<PlatformResult> found(JsonNode tree) {
    return PlatformObjectCodec.read(tree).map(PlatformResult.Found::new);
  }

  private static Optional<PlatformResult> listing(JsonNode tree) {
    Optional<List<PlatformObject>> objects = PlatformObjectCodec.readAll(tree.path("objects"));
    return tree.path("revision").canConvertToLong()
        ? objects.map(list -> new PlatformResult.Listing(tree.path("revision").longValue(), list))
        : Optional.empty();
  }

  private static Optional<PlatformResult> hostList(JsonNode tree) {
    Optional<List<HostEntry>> hosts = HostListCodec.read(tree);
    return tree.path("revision").canConvertToLong()
        ? hosts.map(list -> new PlatformResult.Hosts(tree.path("revision").longValue(), list))
        : Optional.empty();
  }

  private static PlatformResult absentToBadCall(PlatformResult result) {
    return result instanceof PlatformResult.Absent
        ? new PlatformResult.Failed(PlatformFailure.BAD_CALL)
        : result;
  }

  private static String path(ObjectKey key) {
    return "/v1/objects/" + urlEncode(key.kind()) + "/" + urlEncode(key.name());
  }

  private static String urlEncode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
