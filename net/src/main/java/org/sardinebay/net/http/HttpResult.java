package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;

/** What an HTTP call came to. */
public sealed interface HttpResult {
  /**
   * A response arrived.
   *
   * @param status its HTTP status
   * @param body its body; a missing node if it is no JSON
   */
  record Response(int status, JsonNode body) implements HttpResult {}

  /** The request never left: no connection could be made. */
  record NotSent() implements HttpResult {}

  /** The request may have arrived, but no response came in time. */
  record NoResponse() implements HttpResult {}
}
