package org.sardinebay.gateway.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a peer that fills the memory by sending without reading the answers, and against a
 * listener that fails and leaves its connection open without anybody reading it.
 */
class LineChannelTest {
  private static final int MAX_LINE_BYTES = 1 << 16;
  private static final int ANSWER_BYTES = 4_000;
  private static final int LINES = 20_000;

  /** What the sockets' buffers of both ends may hold, several times what Linux gives them. */
  private static final int SOCKET_BUFFER_BYTES = 32 << 20;

  private final AtomicInteger received = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private Eventloop loop;
  private Thread thread;
  private InetSocketAddress address;

  /** More than the sockets' buffers of both ends hold. */
  private static final int LAST_ANSWER_BYTES = SOCKET_BUFFER_BYTES;

  /** Answers each line with a long one, fails on the line "fail", and closes after "last". */
  private final class Answerer implements LineChannel.Listener {
    private Optional<LineChannel> channel = Optional.empty();

    @Override
    public void onLine(String line) {
      if (line.equals("fail")) {
        throw new IllegalStateException("a line that is not expected");
      }
      received.incrementAndGet();
      if (line.equals("last")) {
        channel.orElseThrow().send("x".repeat(LAST_ANSWER_BYTES));
        channel.orElseThrow().close();
        return;
      }
      channel.orElseThrow().send("x".repeat(ANSWER_BYTES));
    }

    @Override
    public void onTooLong() {}

    @Override
    public void onClosed() {
      closed.incrementAndGet();
    }
  }

  @BeforeEach
  void startServer() throws Exception {
    loop = Eventloop.create();
    loop.keepAlive(true);
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = (InetSocketAddress) free.getLocalSocketAddress();
    }
    thread = new Thread(loop, "line-channel-test");
    thread.setDaemon(true);
    thread.start();
    loop.submit(
            () ->
                SimpleServer.builder(
                        loop,
                        socket -> {
                          Answerer answerer = new Answerer();
                          LineChannel channel =
                              new LineChannel((TcpSocket) socket, MAX_LINE_BYTES, answerer);
                          answerer.channel = Optional.of(channel);
                          channel.start();
                        })
                    .withListenAddress(address)
                    .build()
                    .listen())
        .get();
  }

  @AfterEach
  void stopServer() {
    loop.execute(loop::breakEventloop);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  @Test
  void should_stop_reading_while_the_peer_does_not_read_the_answers() throws Exception {
    try (Socket socket = connect()) {
      send(socket, "q\r\n".repeat(LINES));
      Thread.sleep(1_000);
      assertThat(received.get()).isLessThan(SOCKET_BUFFER_BYTES / ANSWER_BYTES);

      BufferedReader in = reader(socket);
      for (int i = 0; i < LINES; i++) {
        assertThat(in.readLine()).hasSize(ANSWER_BYTES);
      }
    }
    assertThat(received.get()).isEqualTo(LINES);
  }

  @Test
  void should_close_the_connection_whose_listener_fails_and_serve_the_others() throws Exception {
    try (Socket failing = connect();
        Socket other = connect()) {
      send(failing, "fail\r\n");
      assertThat(reader(failing).readLine()).isNull();

      send(other, "q\r\n");
      assertThat(reader(other).readLine()).hasSize(ANSWER_BYTES);
      // The other connection's answer comes from the same thread, after the listener was told.
      assertThat(closed.get()).isEqualTo(1);
    } catch (SocketTimeoutException e) {
      throw new AssertionError("the connection was left open", e);
    }
  }

  @Test
  void should_deliver_the_whole_answer_before_the_connection_is_closed() throws Exception {
    try (Socket socket = connect()) {
      send(socket, "last\r\n");
      BufferedReader in = reader(socket);
      assertThat(in.readLine()).hasSize(LAST_ANSWER_BYTES);
      assertThat(in.readLine()).isNull();
    }
  }
}
