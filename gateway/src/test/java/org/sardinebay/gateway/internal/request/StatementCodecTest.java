package org.sardinebay.gateway.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sardinebay.Position;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.net.peer.generated.SessionValue;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.net.peer.generated.StatementReply;
import org.sardinebay.net.peer.generated.StatementRoute;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.RouteKind;
import org.sardinebay.session.Statement;

/**
 * Guards against hosts of another version that send names unknown here: they threw on the event
 * loop and left the other host without an answer.
 */
class StatementCodecTest {
  private record State(Map<String, String> values) implements StatementRequest.SessionState {
    @Override
    public Optional<Position> position() {
      return Optional.empty();
    }

    @Override
    public void advance(Position seen) {}
  }

  @Property
  void should_decode_a_route_of_any_kind(
      @ForAll String kind, @ForAll long staleness, @ForAll int priority) {
    StatementRoute route =
        StatementRoute.newBuilder()
            .setKind(kind)
            .setMaxStalenessMillis(staleness)
            .setPriority(priority)
            .build();

    assertThat(StatementCodec.route(route)).isEmpty();
    assertThat(StatementCodec.route(route.toBuilder().setKind(RouteKind.PRIMARY.name()).build()))
        .isPresent();
  }

  @Property
  void should_decode_a_failure_of_any_code(@ForAll String code, @ForAll String message) {
    StatementReply reply = StatementReply.newBuilder().setCode(code).setMessage(message).build();

    SessionReply.Failure failure = (SessionReply.Failure) StatementCodec.reply(reply);

    assertThat(failure.code()).isEqualTo(ErrorCode.UNKNOWN);
    assertThat(failure.text()).isEqualTo(reply.getMessage());
  }

  /** Hosts of earlier builds send the values as a map field, of which the last entry counts. */
  @Test
  void should_decode_session_values_like_a_map_field() {
    StatementCall call =
        StatementCall.newBuilder()
            .addValues(SessionValue.newBuilder().setName("zone").setValue("north"))
            .addValues(SessionValue.newBuilder().setName("unit").setValue("bar"))
            .addValues(SessionValue.newBuilder().setName("zone").setValue("south"))
            .build();

    assertThat(StatementCodec.values(call)).isEqualTo(Map.of("zone", "south", "unit", "bar"));
  }

  @Test
  void should_decode_a_failure_of_each_known_code() {
    for (ErrorCode code : ErrorCode.values()) {
      StatementReply reply = StatementReply.newBuilder().setCode(code.name()).build();

      assertThat(StatementCodec.reply(reply)).isEqualTo(new SessionReply.Failure(code, ""));
    }
  }

  @Property
  void should_decode_a_call_with_any_fields(
      @ForAll String text, @ForAll String workspace, @ForAll long arrivedAt) {
    StatementCall call = StatementCall.newBuilder().setText(text).setWorkspace(workspace).build();

    StatementRequest request = StatementCodec.request(call, new State(Map.of()), arrivedAt);

    assertThat(request.text()).isEqualTo(text);
    assertThat(request.workspace().isPresent()).isEqualTo(!workspace.isEmpty());
  }

  /** Texts hold one character for each byte, from 0 to 255. */
  @Provide
  Arbitrary<String> texts() {
    return Arbitraries.strings()
        .withCharRange('\0', '\u00ff')
        .withChars("\r\n\t \u0085\u00ff")
        .ofMaxLength(40);
  }

  @Property
  void should_keep_the_texts_of_a_statement(
      @ForAll("texts") String id,
      @ForAll("texts") String text,
      @ForAll("texts") String name,
      @ForAll("texts") String value,
      @ForAll("texts") String shape)
      throws InvalidProtocolBufferException {
    PreparedShape prepared = new PreparedShape(Statement.Access.WRITE, shape);
    StatementRequest request =
        new StatementRequest(
            id,
            text,
            true,
            false,
            Optional.of(prepared),
            Optional.empty(),
            new State(Map.of(name, value)),
            0);
    DatabaseRoute route = new DatabaseRoute("d", "s", RouteKind.PRIMARY, 0, 1, 1, 1, true);

    StatementCall call =
        StatementCall.parseFrom(StatementCodec.call(request, route, 0).build().toByteArray());

    StatementRequest decoded = StatementCodec.request(call, request.session(), 0);
    assertThat(decoded).isEqualTo(request);
    assertThat(StatementCodec.values(call)).isEqualTo(Map.of(name, value));
  }

  @Property
  void should_keep_the_texts_of_a_reply(
      @ForAll @Size(max = 4) List<@From("texts") String> rows,
      @ForAll("texts") String signature,
      @ForAll("texts") String failure)
      throws InvalidProtocolBufferException {
    for (SessionReply reply :
        List.of(
            new SessionReply.Success(rows, signature),
            new SessionReply.Failure(ErrorCode.FAILED, failure))) {
      byte[] bytes = StatementCodec.reply(reply).build().toByteArray();

      assertThat(StatementCodec.reply(StatementReply.parseFrom(bytes))).isEqualTo(reply);
    }
  }
}
