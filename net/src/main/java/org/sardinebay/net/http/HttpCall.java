package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;

/**
 * A request as a {@link JsonHttpServer} hands it to its handlers.
 *
 * @param path the part of the path that matched the route's {@code *}, without a leading slash
 * @param query the query parameters
 * @param body the body, empty if there was none or it is no JSON
 */
public record HttpCall(String path, Map<String, String> query, Optional<JsonNode> body) {}
