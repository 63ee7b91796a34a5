package org.sardinebay.standins.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.MemberRole;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.endpoint.HttpEndpointClient;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.record.FieldReader;
import org.sardinebay.standins.platform.FreePorts;

class HttpEndpointClientContractTest {
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final IdempotencyKey KEY = new IdempotencyKey("visit-1", "f1");

  @TempDir private Path directory;
  private final JsonHttpClient http = JsonHttpClient.start("contract", 1);
  private final HttpEndpointClient client = new HttpEndpointClient(http, AddressTranslation.none());
  private Address primary;
  private Address replica;
  private RunningProcess primaryProcess;
  private RunningProcess replicaProcess;

  @BeforeEach
  void startMembers() throws IOException {
    primary = FreePorts.next();
    replica = FreePorts.next();
    primaryProcess = start("a", primary);
    replicaProcess = start("b", replica);
    call(primary, new EndpointCall.Fence(1, "driver"));
    call(primary, new EndpointCall.Promote(1, "driver"));
  }

  @AfterEach
  void stopMembers() {
    primaryProcess.shutdown();
    replicaProcess.shutdown();
    http.stop();
  }

  @Nested
  class Statements {
    @Test
    void should_open_write_replay_and_read() {
      String connection = open(primary);

      EndpointReply first = call(primary, write(connection, "append bale wet", KEY));
      EndpointReply second = call(primary, write(connection, "append bale wet", KEY));
      EndpointReply read = call(primary, read(connection, "get bale", Position.ZERO));

      assertThat(first).isEqualTo(new EndpointReply.Done(List.of(), new Position(1, 2), false));
      assertThat(second).isEqualTo(new EndpointReply.Done(List.of(), new Position(1, 2), true));
      assertThat(read).isEqualTo(new EndpointReply.Done(List.of("wet"), new Position(1, 2), false));
    }

    @Test
    void should_return_term_and_position_with_a_refusal() {
      EndpointReply reply = call(primary, read("none", "get bale", Position.ZERO));

      assertThat(reply)
          .isEqualTo(
              new EndpointReply.Refused(EndpointRefusal.UNKNOWN_CONNECTION, 1, new Position(1, 1)));
    }

    @Test
    void should_close_a_connection() {
      EndpointReply reply = call(primary, new EndpointCall.Close(open(primary)));

      assertThat(reply).isEqualTo(new EndpointReply.Closed());
    }
  }

  @Nested
  class Replication {
    @Test
    void should_replicate_a_write() {
      call(replica, new EndpointCall.Follow(1, new MemberId("a"), primary));
      call(primary, write(open(primary), "put pump open", KEY));
      awaitReceived(replica, 2);

      EndpointReply read = call(replica, read(open(replica), "get pump", new Position(1, 2)));

      assertThat(read)
          .isEqualTo(new EndpointReply.Done(List.of("open"), new Position(1, 2), false));
    }

    @Test
    void should_report_the_progress_of_a_member() {
      EndpointReply reply = call(primary, new EndpointCall.Progress(1, 0, 0));

      Position noOpPosition = new Position(1, 1);
      assertThat(reply)
          .isEqualTo(
              new EndpointReply.Standing(
                  new MemberId("a"),
                  1,
                  MemberRole.PRIMARY,
                  Optional.of(new MemberId("a")),
                  noOpPosition,
                  noOpPosition,
                  true,
                  List.of(noOpPosition),
                  false,
                  0));
    }
  }

  @Nested
  class Restart {
    @Test
    void should_restore_log_and_term_but_not_the_primary_role() throws IOException {
      call(primary, write(open(primary), "put pump open", KEY));
      primaryProcess.shutdown();

      primary = FreePorts.next();
      primaryProcess = start("a", primary);

      EndpointReply.Standing standing =
          (EndpointReply.Standing) call(primary, new EndpointCall.Progress(0, 0, 0));
      assertThat(standing.role()).isEqualTo(MemberRole.FENCED);
      assertThat(standing.received()).isEqualTo(new Position(1, 2));
      assertThat(standing.synced()).isFalse();
      assertThat(call(primary, write(open(primary), "put pump shut", KEY)))
          .isInstanceOf(EndpointReply.Refused.class);
    }
  }

  @Nested
  class Failures {
    @Test
    void should_return_not_sent_when_the_connection_is_refused() throws IOException {
      EndpointReply reply = call(FreePorts.next(), new EndpointCall.Open("test"));

      assertThat(reply).isEqualTo(new EndpointReply.NotSent());
    }

    @Test
    void should_return_no_reply_when_the_reply_to_an_applied_write_is_lost() {
      String connection = open(primary);
      faults(Json.newObject().put("loseReplies", 1));

      EndpointReply lost = client.call(primary, write(connection, "put a 1", KEY), 500).join();
      EndpointReply again = call(primary, write(open(primary), "put a 1", KEY));

      assertThat(lost).isEqualTo(new EndpointReply.NoReply());
      assertThat(again).isEqualTo(new EndpointReply.Done(List.of(), new Position(1, 2), true));
    }

    @Test
    void should_change_no_fault_when_a_field_is_invalid() {
      faults(Json.newObject().put("loseReplies", 3).put("unheardOf", 1));

      assertThat(primaryProcess.dump().path("faults").path("loseReplies").asInt()).isZero();
    }

    @Test
    void should_detect_swapped_replies() {
      String one = open(primary);
      String two = open(primary);
      faults(Json.newObject().put("crossReplies", 1));

      CompletableFuture<EndpointReply> first =
          client.call(primary, read(one, "get a", Position.ZERO), TIMEOUT_MILLIS);
      CompletableFuture<EndpointReply> second =
          client.call(primary, read(two, "get b", Position.ZERO), TIMEOUT_MILLIS);

      assertThat(first.join()).isEqualTo(new EndpointReply.Crossed());
      assertThat(second.join()).isEqualTo(new EndpointReply.Crossed());
    }
  }

  private RunningProcess start(String member, Address listen) throws IOException {
    ObjectNode settings = Json.newObject();
    settings
        .put("member", member)
        .put("listen", listen.toString())
        .put("dataFile", directory.resolve(member + ".log").toString());
    EndpointMain program = new EndpointMain();
    return program.start(program.settings(FieldReader.of(settings)));
  }

  private void awaitReceived(Address member, long index) {
    for (int i = 0; i < 100; i++) {
      EndpointReply reply = call(member, new EndpointCall.Progress(0, index - 1, 100));
      if (reply instanceof EndpointReply.Standing standing
          && standing.received().index() >= index
          && standing.synced()) {
        return;
      }
    }
    throw new AssertionError("index " + index + " was not received");
  }

  private String open(Address member) {
    return ((EndpointReply.Opened) call(member, new EndpointCall.Open("test"))).connection();
  }

  private EndpointReply call(Address member, EndpointCall call) {
    return client.call(member, call, TIMEOUT_MILLIS).join();
  }

  private void faults(ObjectNode faults) {
    http.call(HttpMethod.POST, primary, "/admin/faults", Optional.of(faults), TIMEOUT_MILLIS)
        .join();
  }

  private static EndpointCall write(String connection, String statement, IdempotencyKey key) {
    return new EndpointCall.Execute(
        connection,
        StatementKind.WRITE,
        statement,
        1,
        Position.ZERO,
        0,
        Optional.of(key),
        TIMEOUT_MILLIS);
  }

  private static EndpointCall read(String connection, String statement, Position minimumPosition) {
    return new EndpointCall.Execute(
        connection,
        StatementKind.READ,
        statement,
        0,
        minimumPosition,
        TIMEOUT_MILLIS,
        Optional.empty(),
        TIMEOUT_MILLIS);
  }
}
