package org.sardinebay.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.net.peer.FreePorts;

class JsonHttpServerTest {
  private static final int SOCKET_TIMEOUT_MILLIS = 60_000;

  @Nested
  class BadInput {
    @Test
    void should_reply_with_a_timeout_to_a_request_with_an_incomplete_body() throws Exception {
      String status = statusOf("POST /echo HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"caller\"");

      assertThat(status).contains("408");
    }

    @Test
    void should_reject_input_that_is_not_an_http_request() throws Exception {
      assertThat(statusOf("GARBAGE\r\n\r\n")).contains("400");
    }
  }

  private static String statusOf(String request) throws Exception {
    Address address = FreePorts.next();
    Route echo =
        Route.post(
            "/echo",
            call -> CompletableFuture.completedFuture(HttpServerResponse.plain(200, "whole")));
    JsonHttpServer server = JsonHttpServer.start(address, 1, List.of(echo));
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      return new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
          .readLine();
    } finally {
      server.stop();
    }
  }
}
