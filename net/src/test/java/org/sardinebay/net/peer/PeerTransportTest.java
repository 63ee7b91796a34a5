package org.sardinebay.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.net.peer.generated.ConfigReply;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.SuspicionCall;
import org.sardinebay.net.peer.generated.SuspicionReply;

class PeerTransportTest {
  private static final long LONG_MILLIS = 10_000;
  private static final long SHORT_MILLIS = 50;
  private static final long SLOW_MILLIS = 300;
  private static final int PART_BYTES = 32 << 10;

  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final PeerClient client =
      PeerClient.start(AddressTranslation.none(), Clock.system(), registry);
  private final List<PeerServer> servers = new ArrayList<>();

  @AfterEach
  void stop() {
    client.stop();
    servers.forEach(PeerServer::stop);
  }

  @Nested
  class Replies {
    @Test
    void should_complete_their_own_calls_when_received_out_of_order() throws Exception {
      List<CompletableFuture<Frame>> replies = new CopyOnWriteArrayList<>();
      Address address = serve(call -> pendingReply(replies));
      CompletableFuture<PeerResult> first = client.call(address, call(1), LONG_MILLIS);
      await(() -> replies.size() == 1);
      CompletableFuture<PeerResult> second = client.call(address, call(2), LONG_MILLIS);
      await(() -> replies.size() == 2);

      replies.get(1).complete(reply(22));
      replies.get(0).complete(reply(11));

      assertThat(term(first)).isEqualTo(11);
      assertThat(term(second)).isEqualTo(22);
    }

    @Test
    void should_be_dropped_and_counted_after_their_call_timed_out() throws Exception {
      List<CompletableFuture<Frame>> replies = new CopyOnWriteArrayList<>();
      Address address = serve(call -> pendingReply(replies));
      CompletableFuture<PeerResult> longCall = client.call(address, call(1), LONG_MILLIS);
      CompletableFuture<PeerResult> shortCall = client.call(address, call(2), SHORT_MILLIS);
      assertThat(shortCall.get(LONG_MILLIS, TimeUnit.MILLISECONDS))
          .isInstanceOf(PeerResult.NoReply.class);

      replies.get(1).complete(reply(22));
      replies.get(0).complete(reply(11));

      assertThat(term(longCall)).isEqualTo(11);
      assertThat(registry.counter(PeerClient.DROPPED_ANSWERS).count()).isEqualTo(1);
    }

    @Test
    void should_complete_a_configuration_call_beyond_its_time_out_while_they_arrive()
        throws Exception {
      try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
        Address address = new Address("127.0.0.1", server.getLocalPort());
        Frame call = Frame.newBuilder().setConfigCall(ConfigCall.getDefaultInstance()).build();
        CompletableFuture<PeerResult> result = client.call(address, call, SLOW_MILLIS);
        try (Socket socket = server.accept()) {
          DataInputStream in = new DataInputStream(socket.getInputStream());
          long correlation = Frame.parseFrom(in.readNBytes(in.readInt())).getCorrelation();
          byte[] reply = largeReply(correlation).toByteArray();
          DataOutputStream out = new DataOutputStream(socket.getOutputStream());
          out.writeInt(reply.length);
          for (int from = 0; from < reply.length; from += PART_BYTES) {
            out.write(reply, from, Math.min(PART_BYTES, reply.length - from));
            Thread.sleep(SLOW_MILLIS / 2);
          }

          assertThat(result.get(LONG_MILLIS, TimeUnit.MILLISECONDS))
              .isInstanceOf(PeerResult.Reply.class);
        }
      }
    }

    private static Frame largeReply(long correlation) {
      ConfigRecord record =
          ConfigRecord.newBuilder().setBody(ByteString.copyFrom(new byte[8 * PART_BYTES])).build();
      return Frame.newBuilder()
          .setCorrelation(correlation)
          .setConfigReply(ConfigReply.newBuilder().addRecords(record))
          .build();
    }

    @Test
    void should_be_dropped_and_counted_when_they_arrive_again_after_the_next_call()
        throws Exception {
      try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
        Address address = new Address("127.0.0.1", server.getLocalPort());
        CompletableFuture<PeerResult> first = client.call(address, call(1), LONG_MILLIS);
        try (Socket socket = server.accept()) {
          Frame firstReply = correlated(receive(socket), 11);
          send(socket, firstReply);
          assertThat(term(first)).isEqualTo(11);
          CompletableFuture<PeerResult> second = client.call(address, call(2), LONG_MILLIS);
          Frame secondReply = correlated(receive(socket), 22);

          send(socket, firstReply);
          send(socket, secondReply);

          assertThat(term(second)).isEqualTo(22);
          assertThat(registry.counter(PeerClient.DROPPED_ANSWERS).count()).isEqualTo(1);
        }
      }
    }
  }

  @Nested
  class Connections {
    @Test
    void should_report_a_call_as_not_sent_when_nobody_listens() throws Exception {
      Address address = FreePorts.next();

      PeerResult result =
          client.call(address, call(1), LONG_MILLIS).get(LONG_MILLIS, TimeUnit.MILLISECONDS);

      assertThat(result).isInstanceOf(PeerResult.NotSent.class);
    }

    @Test
    void should_be_reopened_after_a_server_restart() throws Exception {
      Address address = FreePorts.next();
      PeerServer before = PeerServer.start(address, call -> done(reply(1)));
      assertThat(term(client.call(address, call(1), LONG_MILLIS))).isEqualTo(1);
      before.stop();

      servers.add(PeerServer.start(address, call -> done(reply(2))));

      await(() -> secondServerReplies(address));
    }

    @Test
    void should_be_replaced_after_a_call_timed_out_without_receiving_data() throws Exception {
      try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
        Address address = new Address("127.0.0.1", silent.getLocalPort());
        CompletableFuture<PeerResult> first = client.call(address, call(1), SHORT_MILLIS);
        try (Socket before = silent.accept()) {
          assertThat(first.get(LONG_MILLIS, TimeUnit.MILLISECONDS))
              .isInstanceOf(PeerResult.NoReply.class);

          CompletableFuture<PeerResult> second = client.call(address, call(2), SHORT_MILLIS);

          silent.setSoTimeout((int) LONG_MILLIS);
          try (Socket after = silent.accept()) {
            assertThat(after.getPort()).isNotEqualTo(before.getPort());
            assertThat(second.get(LONG_MILLIS, TimeUnit.MILLISECONDS))
                .isInstanceOf(PeerResult.NoReply.class);
          }
        }
      }
    }
  }

  private Address serve(PeerHandler handler) throws IOException {
    Address address = FreePorts.next();
    servers.add(PeerServer.start(address, handler));
    return address;
  }

  private boolean secondServerReplies(Address address) throws Exception {
    PeerResult result =
        client.call(address, call(1), LONG_MILLIS).get(LONG_MILLIS, TimeUnit.MILLISECONDS);
    return result instanceof PeerResult.Reply reply
        && reply.frame().getSuspicionReply().getTerm() == 2;
  }

  private static CompletableFuture<Frame> pendingReply(List<CompletableFuture<Frame>> replies) {
    CompletableFuture<Frame> reply = new CompletableFuture<>();
    replies.add(reply);
    return reply;
  }

  static void await(Condition condition) throws Exception {
    long deadline = Clock.system().millis() + LONG_MILLIS;
    while (!condition.holds()) {
      assertThat(Clock.system().millis()).as("deadline").isLessThan(deadline);
      Thread.sleep(5);
    }
  }

  private static Frame receive(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    return Frame.parseFrom(in.readNBytes(in.readInt()));
  }

  private static void send(Socket socket, Frame frame) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(frame.getSerializedSize());
    out.write(frame.toByteArray());
  }

  private static Frame correlated(Frame call, long term) {
    return reply(term).toBuilder().setCorrelation(call.getCorrelation()).build();
  }

  private static Frame call(long term) {
    return Frame.newBuilder().setSuspicionCall(SuspicionCall.newBuilder().setTerm(term)).build();
  }

  private static Frame reply(long term) {
    return Frame.newBuilder().setSuspicionReply(SuspicionReply.newBuilder().setTerm(term)).build();
  }

  private static CompletableFuture<Frame> done(Frame frame) {
    return CompletableFuture.completedFuture(frame);
  }

  private static long term(CompletableFuture<PeerResult> result) throws Exception {
    PeerResult.Reply reply = (PeerResult.Reply) result.get(LONG_MILLIS, TimeUnit.MILLISECONDS);
    return reply.frame().getSuspicionReply().getTerm();
  }

  /** A condition to wait for. */
  interface Condition {
    boolean holds() throws Exception;
  }
}
