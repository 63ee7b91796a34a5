package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A response that a handler gives.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param text a plain text sent instead of the JSON body
 * @param retryAfterMillis when the client may come back; sent in whole seconds, rounded up
 */
public record HttpReply(
    int status, JsonNode body, Optional<String> text, OptionalLong retryAfterMillis) {

  /** The status of a success. */
  public static final int OK = 200;

  /**
   * A reply with a JSON body.
   *
   * @param status the HTTP status
   * @param body the body
   * @return the reply
   */
  public static HttpReply json(int status, JsonNode body) {
    return new HttpReply(status, body, Optional.empty(), OptionalLong.empty());
  }

  /**
   * A reply in plain text.
   *
   * @param status the HTTP status
   * @param text the body
   * @return the reply
   */
  public static HttpReply plain(int status, String text) {
    return new HttpReply(status, Json.newObject(), Optional.of(text), OptionalLong.empty());
  }
}
