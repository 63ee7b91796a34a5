package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpHeader;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The response of a handler.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param text plain text to send instead of the JSON body
 * @param retryAfterMillis when the client may retry; sent in whole seconds, rounded up
 * @param headers additional headers
 */
public record HttpServerResponse(
    int status,
    JsonNode body,
    Optional<String> text,
    OptionalLong retryAfterMillis,
    Map<HttpHeader, String> headers) {

  /** The HTTP status of a success. */
  public static final int OK = 200;

  /**
   * Creates a response with a JSON body.
   *
   * @param status the HTTP status
   * @param body the body
   * @return the response
   */
  public static HttpServerResponse json(int status, JsonNode body) {
    return new HttpServerResponse(status, body, Optional.empty(), OptionalLong.empty(), Map.of());
  }

  /**
   * Creates a response with a plain text body.
   *
   * @param status the HTTP status
   * @param text the body
   * @return the response
   */
  public static HttpServerResponse plain(int status, String text) {
    return new HttpServerResponse(
        status, Json.newObject(), Optional.of(text), OptionalLong.empty(), Map.of());
  }

  /**
   * Returns this response with one additional header instead of any others.
   *
   * @param header the header
   * @param value its value
   * @return the response
   */
  public HttpServerResponse withHeader(HttpHeader header, String value) {
    return new HttpServerResponse(status, body, text, retryAfterMillis, Map.of(header, value));
  }
}
