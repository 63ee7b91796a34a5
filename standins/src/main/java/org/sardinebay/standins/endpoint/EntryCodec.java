package org.sardinebay.standins.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.net.http.Json;

/**
 * Encodes and decodes journal records and replication messages as JSON. The decode methods throw
 * {@link IllegalArgumentException} for invalid input.
 */
final class EntryCodec {
  private static final String TYPE = "type";
  private static final String TERM = "term";
  private static final String INDEX = "index";
  private static final String OWNER = "owner";
  private static final String PRIMARY = "primary";
  private static final String KEY = "key";
  private static final String AFTER = "after";
  private static final String LAST = "last";
  private static final String ENTRIES = "entries";
  private static final String HISTORY = "history";
  private static final String WAIT_MILLIS = "waitMillis";

  private EntryCodec() {}

  static ObjectNode encode(JournalRecord journalRecord) {
    if (journalRecord instanceof JournalRecord.TermEntered entered) {
      ObjectNode node = typed(TERM).put(TERM, entered.term()).put(OWNER, entered.owner());
      entered.primary().ifPresent(primary -> node.put(PRIMARY, primary.value()));
      return node;
    }
    if (journalRecord instanceof JournalRecord.Truncated truncated) {
      return typed("truncate").put(INDEX, truncated.index());
    }
    return typed("entry").set("entry", encode(((JournalRecord.Appended) journalRecord).entry()));
  }

  static JournalRecord decodeRecord(JsonNode node) {
    return switch (node.required(TYPE).textValue()) {
      case TERM ->
          new JournalRecord.TermEntered(
              node.required(TERM).longValue(),
              node.required(OWNER).textValue(),
              node.has(PRIMARY)
                  ? Optional.of(new MemberId(node.get(PRIMARY).textValue()))
                  : Optional.empty());
      case "truncate" -> new JournalRecord.Truncated(node.required(INDEX).longValue());
      case "entry" -> new JournalRecord.Appended(decodeEntry(node.required("entry")));
      default -> throw new IllegalArgumentException("unknown record type: " + node);
    };
  }

  static ObjectNode encode(PullRequest request) {
    ObjectNode node = Json.newObject().put(TERM, request.term());
    node.put(PRIMARY, request.primary().value()).put(WAIT_MILLIS, request.waitMillis());
    return node.set(AFTER, ReplyEncoder.position(request.after()));
  }

  static PullRequest decodeRequest(JsonNode node) {
    return new PullRequest(
        node.required(TERM).longValue(),
        new MemberId(node.required(PRIMARY).textValue()),
        decodePosition(node.required(AFTER)),
        node.required(WAIT_MILLIS).longValue());
  }

  static ObjectNode encode(PullReply reply) {
    if (reply instanceof PullReply.Entries entries) {
      ObjectNode node = typed(ENTRIES);
      ArrayNode list = node.putArray(ENTRIES);
      entries.entries().forEach(entry -> list.add(encode(entry)));
      return node;
    }
    if (reply instanceof PullReply.Diverged diverged) {
      ObjectNode node = typed("diverged");
      ArrayNode history = node.putArray(HISTORY);
      diverged.outline().termStarts().forEach(start -> history.add(ReplyEncoder.position(start)));
      return node.set(LAST, ReplyEncoder.position(diverged.outline().last()));
    }
    return typed("declined");
  }

  static PullReply decodeReply(JsonNode node) {
    return switch (node.required(TYPE).textValue()) {
      case ENTRIES -> {
        List<LogEntry> entries = new ArrayList<>();
        node.required(ENTRIES).forEach(entry -> entries.add(decodeEntry(entry)));
        yield new PullReply.Entries(entries);
      }
      case "diverged" -> {
        List<Position> history = new ArrayList<>();
        node.required(HISTORY).forEach(start -> history.add(decodePosition(start)));
        Position last = decodePosition(node.required(LAST));
        yield new PullReply.Diverged(new LogOutline(history, last));
      }
      default -> new PullReply.Declined();
    };
  }

  private static ObjectNode encode(LogEntry entry) {
    ObjectNode node = ReplyEncoder.position(entry.position());
    ArrayNode effects = node.putArray("effects");
    for (Effect effect : entry.effects()) {
      effects.addArray().add(effect.mode().name()).add(effect.key()).add(effect.value());
    }
    entry.key().ifPresent(key -> node.put(KEY, key.value()).put("fingerprint", key.fingerprint()));
    ArrayNode rows = node.putArray("rows");
    entry.rows().forEach(rows::add);
    return node.put("tombstone", entry.tombstone());
  }

  private static LogEntry decodeEntry(JsonNode node) {
    List<Effect> effects = new ArrayList<>();
    for (JsonNode effect : node.required("effects")) {
      Effect.Mode mode = Effect.Mode.valueOf(effect.required(0).textValue());
      effects.add(new Effect(effect.required(1).textValue(), mode, effect.required(2).textValue()));
    }
    List<String> rows = new ArrayList<>();
    node.required("rows").forEach(row -> rows.add(row.textValue()));
    return new LogEntry(
        decodePosition(node),
        effects,
        decodeKey(node),
        rows,
        node.required("tombstone").asBoolean());
  }

  private static Optional<IdempotencyKey> decodeKey(JsonNode node) {
    if (!node.has(KEY)) {
      return Optional.empty();
    }
    String fingerprint = node.required("fingerprint").textValue();
    return Optional.of(new IdempotencyKey(node.get(KEY).textValue(), fingerprint));
  }

  private static Position decodePosition(JsonNode node) {
    return new Position(node.required(TERM).longValue(), node.required(INDEX).longValue());
  }

  private static ObjectNode typed(String type) {
    return Json.newObject().put(TYPE, type);
  }
}
