package org.sardinebay.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;

class JsonHttpClientTest {
  private static final int LONG_MILLIS = 10_000;
  private static final int SHORT_MILLIS = 100;

  private final JsonHttpClient client = JsonHttpClient.start("http-client-test", 1);
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    server.setSoTimeout(LONG_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  @Nested
  class Connections {
    @Test
    void should_be_reused_after_a_response_that_arrived_in_parts() throws Exception {
      CompletableFuture<HttpCallResult> first = call("/first", LONG_MILLIS);
      try (Connection connection = accept()) {
        connection.readRequest();
        for (char part : response(1).toCharArray()) {
          connection.send(String.valueOf(part));
        }
        assertThat(number(first)).isEqualTo(1);

        CompletableFuture<HttpCallResult> second = call("/second", LONG_MILLIS);

        assertThat(connection.readRequest()).startsWith("GET /second ");
        connection.send(response(2));
        assertThat(number(second)).isEqualTo(2);
      }
    }

    @Test
    void should_be_closed_when_a_response_arrives_while_they_are_idle() throws Exception {
      CompletableFuture<HttpCallResult> first = call("/first", LONG_MILLIS);
      try (Connection before = accept()) {
        before.readRequest();
        before.send(response(1));
        assertThat(number(first)).isEqualTo(1);

        before.send(response(1));
        assertThat(before.readRequest()).isNull();

        CompletableFuture<HttpCallResult> second = call("/second", LONG_MILLIS);
        try (Connection after = accept()) {
          after.readRequest();
          after.send(response(2));
          assertThat(number(second)).isEqualTo(2);
        }
      }
    }

    @Test
    void should_be_reused_only_after_the_response_to_a_call_that_timed_out() throws Exception {
      CompletableFuture<HttpCallResult> first = call("/first", SHORT_MILLIS);
      try (Connection before = accept()) {
        before.readRequest();
        assertThat(result(first)).isInstanceOf(HttpCallResult.NoResponse.class);

        CompletableFuture<HttpCallResult> second = call("/second", LONG_MILLIS);

        try (Connection after = accept()) {
          assertThat(after.readRequest()).startsWith("GET /second ");
          before.send(response(1));
          after.send(response(2));
          assertThat(number(second)).isEqualTo(2);
        }
      }
    }
  }

  @Nested
  class Responses {
    @Test
    void should_not_be_taken_as_complete_when_the_connection_ends_within_the_body()
        throws Exception {
      CompletableFuture<HttpCallResult> result = call("/first", LONG_MILLIS);
      try (Connection connection = accept()) {
        connection.readRequest();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"number\":1}");
      }

      assertThat(result(result)).isInstanceOf(HttpCallResult.NoResponse.class);
    }
  }

  @Nested
  class Fetches {
    private static final int PART_BYTES = 32 << 10;

    @Test
    void should_end_with_the_connection_when_the_body_makes_no_progress() throws Exception {
      CompletableFuture<HttpCallResult> result = fetch("/stalled", LONG_MILLIS);
      try (Connection connection = accept()) {
        connection.readRequest();
        connection.send(head(2 * PART_BYTES) + "1".repeat(PART_BYTES));

        assertThat(result(result)).isInstanceOf(HttpCallResult.NoResponse.class);
        assertThat(connection.ended()).isTrue();
      }
    }

    @Test
    void should_not_receive_a_body_that_begins_too_late() throws Exception {
      CompletableFuture<HttpCallResult> result = fetch("/late", SHORT_MILLIS);
      try (Connection connection = accept()) {
        connection.readRequest();
        assertThat(result(result)).isInstanceOf(HttpCallResult.NoResponse.class);

        connection.send(head(2 * PART_BYTES) + "1".repeat(PART_BYTES));

        assertThat(connection.ended()).isTrue();
      }
    }

    private CompletableFuture<HttpCallResult> fetch(String path, long timeoutMillis) {
      return client.fetch(new Address("127.0.0.1", server.getLocalPort()), path, timeoutMillis);
    }

    private static String head(int bodyBytes) {
      return "HTTP/1.1 200 OK\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }
  }

  private CompletableFuture<HttpCallResult> call(String path, long timeoutMillis) {
    Address address = new Address("127.0.0.1", server.getLocalPort());
    return client.call(HttpMethod.GET, address, path, Optional.empty(), timeoutMillis);
  }

  private Connection accept() throws IOException {
    return new Connection(server.accept());
  }

  private static String response(int number) {
    String body = "{\"number\":" + number + "}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static HttpCallResult result(CompletableFuture<HttpCallResult> result) throws Exception {
    return result.get(LONG_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static int number(CompletableFuture<HttpCallResult> result) throws Exception {
    HttpCallResult.Response response = (HttpCallResult.Response) result(result);
    return response.body().path("number").asInt();
  }

  /** The server's end of a connection. */
  private static final class Connection implements AutoCloseable {
    private final Socket socket;
    private final BufferedReader reader;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(LONG_MILLIS);
      this.reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Returns the first line of the next request, or null if the connection has ended. */
    String readRequest() throws IOException {
      String first = reader.readLine();
      for (String line = first; line != null && !line.isEmpty(); line = reader.readLine()) {}
      return first;
    }

    /** Waits until the client has closed or reset the connection. */
    boolean ended() throws IOException {
      try {
        return reader.read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      } catch (SocketException e) {
        return true;
      }
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
