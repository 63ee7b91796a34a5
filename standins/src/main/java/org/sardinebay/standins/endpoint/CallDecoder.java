package org.sardinebay.standins.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Optional;
import java.util.function.Function;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.record.FieldReader;

/** Decodes endpoint calls from JSON. */
final class CallDecoder {
  private static final long MAX_MILLIS = 3_600_000;
  private static final String TERM = "term";
  private static final String OWNER = "owner";
  private static final String CONNECTION = "connection";

  private CallDecoder() {}

  /**
   * A decoded call.
   *
   * @param correlation the correlation id that the reply has to repeat
   * @param call the call; empty if the body is invalid or addressed to another member
   */
  record Decoded(String correlation, Optional<EndpointCall> call) {}

  static Decoded decode(
      MemberId self, Optional<JsonNode> body, Function<FieldReader, EndpointCall> decoder) {
    FieldReader reader = FieldReader.of(body.orElseGet(MissingNode::getInstance));
    String correlation = reader.text("correlation", "");
    String recipient = reader.text("member", "");
    EndpointCall call = decoder.apply(reader);
    boolean forSelf = recipient.isEmpty() || recipient.equals(self.value());
    boolean valid = reader.problems().isEmpty() && forSelf;
    return new Decoded(correlation, valid ? Optional.of(call) : Optional.empty());
  }

  static EndpointCall open(FieldReader reader) {
    return new EndpointCall.Open(reader.text("client"));
  }

  static EndpointCall close(FieldReader reader) {
    return new EndpointCall.Close(reader.text(CONNECTION));
  }

  static EndpointCall execute(FieldReader reader) {
    if (!reader.has("kind")) {
      reader.addProblem("kind", "a kind of statement");
    }
    return new EndpointCall.Execute(
        reader.text(CONNECTION),
        reader.enumConstant("kind", StatementKind.READ),
        reader.text("statement", ""),
        number(reader, TERM),
        minimumPosition(reader),
        millis(reader, "maxWaitMillis"),
        key(reader),
        millis(reader, "deadlineMillis"));
  }

  static EndpointCall progress(FieldReader reader) {
    return new EndpointCall.Progress(
        number(reader, TERM), number(reader, "afterIndex"), millis(reader, "waitMillis"));
  }

  static EndpointCall fence(FieldReader reader) {
    return new EndpointCall.Fence(number(reader, TERM), reader.text(OWNER));
  }

  static EndpointCall promote(FieldReader reader) {
    return new EndpointCall.Promote(number(reader, TERM), reader.text(OWNER));
  }

  static EndpointCall follow(FieldReader reader) {
    return new EndpointCall.Follow(
        reader.number(TERM, 1, Long.MAX_VALUE),
        new MemberId(reader.text("primary")),
        reader.address("address"));
  }

  private static Position minimumPosition(FieldReader reader) {
    if (!reader.has("least")) {
      return Position.ZERO;
    }
    FieldReader minimumPosition = reader.object("least");
    return new Position(number(minimumPosition, TERM), number(minimumPosition, "index"));
  }

  private static Optional<IdempotencyKey> key(FieldReader reader) {
    return reader.has("key")
        ? Optional.of(new IdempotencyKey(reader.text("key"), reader.text("fingerprint", "")))
        : Optional.empty();
  }

  private static long number(FieldReader reader, String field) {
    return reader.number(field, 0, Long.MAX_VALUE);
  }

  private static long millis(FieldReader reader, String field) {
    return reader.number(field, 0, MAX_MILLIS);
  }
}
