package org.sardinebay.standins.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.standins.platform.FreePorts;

class RelayProcessTest {
  private static final int SILENCE_MILLIS = 200;
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int CHANGE_ROUNDS = 500;

  private final JsonHttpClient http = JsonHttpClient.start("relay-test", 1);
  private ServerSocket target;
  private RelayProcess relay;
  private Address commands;
  private Address link;

  @BeforeEach
  void startRelay() throws IOException {
    target = new ServerSocket(0);
    commands = FreePorts.next();
    link = FreePorts.next();
    Address forward = new Address("127.0.0.1", target.getLocalPort());
    relay =
        RelayProcess.start(
            new RelaySettings(
                commands, List.of(new LinkSettings("waco-1", "contracts-1-a", link, forward, 20))));
  }

  @AfterEach
  void stopRelay() throws IOException {
    relay.shutdown();
    target.close();
    http.stop();
  }

  @Nested
  class OpenLink {
    @Test
    void should_forward_bytes_in_both_directions_after_the_delay() throws IOException {
      try (Socket source = connect();
          Socket accepted = accept()) {
        long started = System.nanoTime();

        send(source, "ping");
        assertThat(receive(accepted)).isEqualTo("ping");
        send(accepted, "pong");

        assertThat(receive(source)).isEqualTo("pong");
        assertThat(System.nanoTime() - started).isGreaterThanOrEqualTo(40_000_000L);
      }
    }

    @Test
    void should_count_bytes_in_both_directions_and_messages_to_the_target() throws IOException {
      try (Socket source = connect();
          Socket accepted = accept()) {
        send(source, "ping");
        receive(accepted);
        send(accepted, "pong");
        receive(source);

        JsonNode counted = relay.dump().path("links").path(0);

        assertThat(counted.path("messages").asLong()).isEqualTo(1);
        assertThat(counted.path("bytes").asLong()).isEqualTo(8);
      }
    }

    @Test
    void should_forward_the_end_of_a_connection() throws IOException {
      try (Socket source = connect();
          Socket accepted = accept()) {

        accepted.close();

        assertThat(source.getInputStream().read()).isEqualTo(-1);
      }
    }
  }

  @Nested
  class CutLink {
    @Test
    void should_drop_bytes_and_close_the_connection_when_the_cut_ends() throws IOException {
      try (Socket source = connect();
          Socket accepted = accept()) {
        change("both");

        send(source, "lost");
        assertSilent(accepted);
        change("none");

        assertThat(accepted.getInputStream().read()).isEqualTo(-1);
        assertThat(source.getInputStream().read()).isEqualTo(-1);
      }
    }

    @Test
    void should_answer_once_the_change_is_in_force() {
      for (int round = 0; round < CHANGE_ROUNDS; round++) {
        String cut = round % 2 == 0 ? "both" : "none";
        change(cut);

        assertThat(relay.dump().at("/links/0/cut").asText()).as("round " + round).isEqualTo(cut);
      }
    }

    @Test
    void should_keep_a_connection_that_lost_nothing() throws IOException {
      try (Socket source = connect();
          Socket accepted = accept()) {
        change("both");
        change("none");

        send(source, "ping");

        assertThat(receive(accepted)).isEqualTo("ping");
      }
    }

    @Test
    void should_drop_bytes_in_one_direction_only() throws IOException {
      try (Socket source = connect();
          Socket accepted = accept()) {
        change("to-target");

        send(source, "lost");
        send(accepted, "pong");

        assertThat(receive(source)).isEqualTo("pong");
        assertSilent(accepted);
      }
    }

    @Test
    void should_accept_new_connections_without_forwarding_bytes() throws IOException {
      change("both");

      try (Socket source = connect()) {
        send(source, "lost");

        assertSilent(source);
      }
    }
  }

  @Nested
  class SilencedConnections {
    @Test
    void should_forward_nothing_more_while_new_ones_work() throws IOException {
      try (Socket silenced = connect();
          Socket accepted = accept()) {
        send(silenced, "ping");
        receive(accepted);

        ObjectNode body = Json.newObject();
        body.putArray("sources").add("*");
        body.putArray("targets").add("*");
        http.call(HttpMethod.POST, commands, "/silence", Optional.of(body), TIMEOUT_MILLIS).join();
        send(silenced, "lost");
        send(accepted, "lost");

        assertSilent(accepted);
        assertSilent(silenced);
        try (Socket later = connect();
            Socket acceptedLater = accept()) {
          send(later, "next");
          assertThat(receive(acceptedLater)).isEqualTo("next");
        }
      }
    }
  }

  @Nested
  class Commands {
    @Test
    void should_refuse_a_command_without_names() {
      HttpCallResult result = post(Json.newObject().put("cut", "both"));

      assertThat(result).isInstanceOfSatisfying(HttpCallResult.Response.class, this::isBadRequest);
    }

    private void isBadRequest(HttpCallResult.Response response) {
      assertThat(response.status()).isEqualTo(400);
    }

    @Test
    void should_not_change_links_of_other_sources() {
      ObjectNode body = Json.newObject().put("cut", "both");
      body.putArray("sources").add("waco-2");
      body.putArray("targets").add("*");

      post(body);

      assertThat(relay.dump().at("/links/0/cut").asText()).isEqualTo("none");
    }
  }

  private void change(String cut) {
    ObjectNode body = Json.newObject().put("cut", cut);
    body.putArray("sources").add("waco-1");
    body.putArray("targets").add("*");
    HttpCallResult result = post(body);
    assertThat(result)
        .isInstanceOfSatisfying(
            HttpCallResult.Response.class,
            response -> assertThat(response.body().path("changed").asInt()).isEqualTo(1));
  }

  private HttpCallResult post(JsonNode body) {
    return http.call(HttpMethod.POST, commands, "/links", Optional.of(body), TIMEOUT_MILLIS).join();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(link.host(), link.port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private Socket accept() throws IOException {
    Socket socket = target.accept();
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String receive(Socket socket) throws IOException {
    return new String(socket.getInputStream().readNBytes(4), StandardCharsets.UTF_8);
  }

  private static void assertSilent(Socket socket) throws IOException {
    socket.setSoTimeout(SILENCE_MILLIS);
    assertThatThrownBy(() -> socket.getInputStream().read())
        .isInstanceOf(SocketTimeoutException.class);
    socket.setSoTimeout(TIMEOUT_MILLIS);
  }
}
