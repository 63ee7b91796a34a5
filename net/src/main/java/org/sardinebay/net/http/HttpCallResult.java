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
   * @param transfer the size and the times of the response
   */
  record Response(int status, JsonNode body, Map<HttpHeader, String> headers, Transfer transfer)
      implements HttpCallResult {

    /**
     * Creates a response that was not transferred.
     *
     * @param status the HTTP status
     * @param body the body
     * @param headers the headers
     */
    public Response(int status, JsonNode body, Map<HttpHeader, String> headers) {
      this(status, body, headers, Transfer.NONE);
    }
  }

  /**
   * The size and the times of a response.
   *
   * @param bytes the size of the body
   * @param headMillis the time from the call to the response's head, in milliseconds
   * @param bodyMillis the time from the head to the end of the body, in milliseconds
   */
  record Transfer(int bytes, long headMillis, long bodyMillis) {
    static final Transfer NONE = new Transfer(0, 0, 0);
  }

  /** The request was not sent because no connection could be opened. */
  record NotSent() implements HttpCallResult {}

  /** The request may have reached the server, but no response arrived in time. */
  record NoResponse() implements HttpCallResult {}
}
