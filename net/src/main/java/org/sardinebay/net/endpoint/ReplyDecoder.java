package org.sardinebay.net.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;
import org.sardinebay.record.FieldReader;

/** Decodes endpoint replies from JSON. */
final class ReplyDecoder {
  private static final String TERM = "term";
  private static final String PRIMARY = "primary";
  private static final Map<String, EndpointRefusal> REFUSALS = byJsonName(EndpointRefusal.values());
  private static final Map<String, MemberRole> ROLES = byJsonName(MemberRole.values());

  private ReplyDecoder() {}

  /** Decodes the reply to {@code call}. Returns empty if the JSON is not a valid reply to it. */
  static Optional<EndpointReply> decode(EndpointCall call, JsonNode body) {
    try {
      return Optional.of(decodeStrictly(call, body));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static EndpointReply decodeStrictly(EndpointCall call, JsonNode body) {
    String status = text(body, "status");
    if (status.equals("refused")) {
      return new EndpointReply.Refused(
          constant(REFUSALS, text(body, "refusal")),
          number(body, TERM),
          position(body.required("applied")));
    }
    if (call instanceof EndpointCall.Progress) {
      require(status.equals("standing"));
      return standing(body);
    }
    require(status.equals("done"));
    if (call instanceof EndpointCall.Execute) {
      return new EndpointReply.Done(
          texts(body.required("rows")), position(body.required("position")), flag(body, "replay"));
    }
    if (call instanceof EndpointCall.Open) {
      return new EndpointReply.Opened(text(body, "connection"));
    }
    if (call instanceof EndpointCall.Close) {
      return new EndpointReply.Closed();
    }
    return new EndpointReply.Obeyed(number(body, TERM), position(body.required("received")));
  }

  private static EndpointReply.Standing standing(JsonNode body) {
    Optional<MemberId> primary =
        body.hasNonNull(PRIMARY)
            ? Optional.of(new MemberId(text(body, PRIMARY)))
            : Optional.empty();
    return new EndpointReply.Standing(
        new MemberId(text(body, "member")),
        number(body, TERM),
        constant(ROLES, text(body, "role")),
        primary,
        position(body.required("received")),
        position(body.required("applied")),
        flag(body, "synced"),
        positions(body.required("history")),
        flag(body, "leaving"),
        Math.toIntExact(Math.min(number(body, "connections"), Integer.MAX_VALUE)));
  }

  private static List<Position> positions(JsonNode list) {
    require(list.isArray());
    List<Position> positions = new ArrayList<>(list.size());
    list.forEach(element -> positions.add(position(element)));
    return List.copyOf(positions);
  }

  private static List<String> texts(JsonNode list) {
    require(list.isArray());
    List<String> texts = new ArrayList<>(list.size());
    for (JsonNode element : list) {
      require(element.isTextual());
      texts.add(element.textValue());
    }
    return List.copyOf(texts);
  }

  private static Position position(JsonNode node) {
    return new Position(number(node, TERM), number(node, "index"));
  }

  private static String text(JsonNode node, String field) {
    JsonNode value = node.required(field);
    require(value.isTextual());
    return value.textValue();
  }

  private static long number(JsonNode node, String field) {
    JsonNode value = node.required(field);
    require(value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0);
    return value.longValue();
  }

  private static boolean flag(JsonNode node, String field) {
    JsonNode value = node.required(field);
    require(value.isBoolean());
    return value.booleanValue();
  }

  private static <E extends Enum<E>> E constant(Map<String, E> constants, String name) {
    E constant = constants.get(name);
    require(constant != null);
    return constant;
  }

  private static void require(boolean condition) {
    if (!condition) {
      throw new IllegalArgumentException("invalid endpoint reply");
    }
  }

  private static <E extends Enum<E>> Map<String, E> byJsonName(E[] constants) {
    return Arrays.stream(constants)
        .collect(Collectors.toUnmodifiableMap(FieldReader::jsonName, Function.identity()));
  }
}
