package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpHeader;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * A request as a {@link JsonHttpServer} passes it to a handler.
 *
 * @param path the part of the path that matched the route's {@code *}, without a leading slash
 * @param query the query parameters
 * @param body the body, or empty if there is none or it is not JSON
 * @param header reads a header; may be called until the handler returns
 */
public record HttpServerRequest(
    String path,
    Map<String, String> query,
    Optional<JsonNode> body,
    Function<HttpHeader, Optional<String>> header) {}
