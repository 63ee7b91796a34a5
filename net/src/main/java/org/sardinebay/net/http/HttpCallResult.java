package org.sardinebay.net.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpHeader;
import java.util.Map;

/** The result of an HTTP call. */
public sealed interface HttpCallResult {
  /**
   * A response arrived.
   *
   * @param status the HTTP status
   * @param body the body; a missing node if it is not JSON
   * @param headers the response's headers, of those that the client reads
   */
  record Response(int status, JsonNode body, Map<HttpHeader, String> headers)
      implements HttpCallResult {}

  /** The request was not sent because no connection could be opened. */
  record NotSent() implements HttpCallResult {}

  /** The request may have reached the server, but no response arrived in time. */
  record NoResponse() implements HttpCallResult {}
}
