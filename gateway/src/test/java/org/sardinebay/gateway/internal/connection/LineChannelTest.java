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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a peer that fills the memory by sending without reading the answers, against a
 * listener that fails and leaves its connection open without anybody reading it, and against lines
 * that are cut or joined between the two ends.
 */
class LineChannelTest {
  private static final int MAX_LINE_BYTES = 1 << 16;
  private static final int ANSWER_BYTES = 4_000;
  private static final int LINES = 20_000;

  /** What the sockets' buffers of both ends may hold, several times what Linux gives them. */
  private static final int SOCKET_BUFFER_BYTES = 32 << 20;

  private final AtomicInteger received = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
  private Eventloop loop;
  private Thread thread;
  private InetSocketAddress address;

  /** More than the sockets' buffers of both ends hold. */
  private static final int LAST_ANSWER_BYTES = SOCKET_BUFFER_BYTES;

  /**
   * Answers each line with a long one, fails on the line "fail", answers "split" with a text that
   * holds a terminator, and closes after "last".
   */
  private final class Answerer implements LineChannel.Listener {
    private Optional<LineChannel> channel = Optional.empty();

    @Override
    public void onLine(String line) {
      if (line.equals("fail")) {
        throw new IllegalStateException("a line that is not expected");
      }
      received.incrementAndGet();
      lines.add(line);
      if (line.equals("split")) {
        channel.orElseThrow().send("DONE a", "ROW b\r\nDONE c");
        return;
      }
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

  private String nextLine() throws InterruptedException {
    return Optional.ofNullable(lines.poll(10, TimeUnit.SECONDS)).orElse("(no line)");
  }

  @Test
  void should_not_run_what_follows_a_line_feed_in_a_text_as_a_message_of_its_own()
      throws Exception {
    try (Socket socket = connect()) {
      send(socket, "QUERY 1 WRITE a b\nQUERY 2 WRITE c d\r\nBYE\r\n");

      assertThat(nextLine()).isEqualTo("QUERY 1 WRITE a b\nQUERY 2 WRITE c d");
      assertThat(nextLine()).isEqualTo("BYE");
    }
  }

  @Test
  void should_not_take_a_row_that_holds_the_words_of_an_end_for_the_end_of_the_answer()
      throws Exception {
    try (Socket socket = connect()) {
      send(socket, "ROW a\nDONE s\nREADY I 1.2\r\nDONE t\r\n");

      assertThat(nextLine()).isEqualTo("ROW a\nDONE s\nREADY I 1.2");
      assertThat(nextLine()).isEqualTo("DONE t");
    }
  }

  @Test
  void should_deliver_every_byte_unchanged_except_for_the_end_of_the_line() throws Exception {
    StringBuilder text = new StringBuilder("\n\r\r");
    for (char c = 0; c <= 0xff; c++) {
      text.append(c);
    }
    text.append('\r');
    try (Socket socket = connect()) {
      send(socket, text + "\r\n");

      assertThat(nextLine()).isEqualTo(text.toString());
    }
  }

  @Test
  void should_close_the_connection_instead_of_sending_a_text_that_holds_a_terminator()
      throws Exception {
    try (Socket socket = connect();
        Socket other = connect()) {
      send(socket, "split\r\n");
      assertThat(reader(socket).readLine()).isNull();

      send(other, "q\r\n");
      assertThat(reader(other).readLine()).hasSize(ANSWER_BYTES);
      assertThat(closed.get()).isEqualTo(1);
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
