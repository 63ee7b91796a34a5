package org.sardinebay.gateway.internal.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sardinebay.Address;

/** Guards against callers that are refused while a host starts, and lose their attempts by it. */
@Timeout(20)
class CallerListenerTest {
  private static final int CALLERS = 100;

  private final Eventloop loop = Eventloop.builder().withThreadName("test").build();
  private Address address;
  private CallerListener listener;

  @BeforeEach
  void bind() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = Address.parse("127.0.0.1:" + free.getLocalPort()).orElseThrow();
    }
    listener = CallerListener.bind(address);
  }

  @AfterEach
  void close() throws IOException {
    loop.breakEventloop();
    listener.close();
  }

  @Nested
  class HostThatStarts {
    @Test
    void should_serve_all_callers_that_connected_before_it_could() throws Exception {
      List<Socket> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        callers.add(new Socket(address.host(), address.port()));
      }
      CountDownLatch accepted = new CountDownLatch(CALLERS);
      loop.keepAlive(true);
      new Thread(loop, "test").start();

      loop.submit(
              () ->
                  listener.serve(
                      loop,
                      socket -> {
                        socket.write(
                            ByteBuf.wrapForReading("hello".getBytes(StandardCharsets.UTF_8)));
                        accepted.countDown();
                      }))
          .get();

      accepted.await();
      for (Socket caller : callers) {
        assertEquals('h', caller.getInputStream().read());
        caller.close();
      }
    }
  }

  @Nested
  class AddressInUse {
    @Test
    void should_be_reported_before_anything_else_starts() {
      assertThrows(IOException.class, () -> CallerListener.bind(address));
    }
  }
}
