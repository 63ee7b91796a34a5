package org.sardinebay.proxy.internal.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.Answer;
import org.sardinebay.Failure;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;

/**
 * Converts answers to the JSON objects and HTTP responses that callers receive.
 *
 * <pre>{@code
 * ObjectNode json = AnswerWriter.write(requestId, answer, token);
 * HttpServerResponse response = AnswerWriter.response(json);
 * }</pre>
 */
public final class AnswerWriter {
  /** The value of {@code outcome} for a request that did not run. */
  public static final String NOT_RUN = "not-run";

  /** The value of {@code outcome} for a request that ran. */
  public static final String DONE = "done";

  private static final String REFUSED = "refused";
  private static final String UNKNOWN = "unknown";
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_TIMEOUT = 504;

  private AnswerWriter() {}

  /**
   * Converts an answer to JSON.
   *
   * @param requestId the id of the request
   * @param answer the answer
   * @param token the session token after the request, if it changed
   * @return the JSON object
   */
  public static ObjectNode write(String requestId, Answer answer, Optional<String> token) {
    ObjectNode json = Json.newObject().put("requestId", requestId);
    if (answer instanceof Answer.Done done) {
      json.put("outcome", DONE);
      writeDone(json, done);
    } else if (answer instanceof Answer.NotRun notRun) {
      writeFailure(json.put("outcome", NOT_RUN), notRun.failure());
      json.put("retryAfterMillis", notRun.retryAfterMillis());
    } else if (answer instanceof Answer.Refused refused) {
      writeFailure(json.put("outcome", REFUSED), refused.failure());
    } else if (answer instanceof Answer.Unknown unknown) {
      writeFailure(json.put("outcome", UNKNOWN), unknown.failure());
      unknown.idempotencyKey().ifPresent(key -> json.put("idempotencyKey", key));
    }
    token.ifPresent(text -> json.put("sessionToken", text));
    return json;
  }

  private static void writeDone(ObjectNode json, Answer.Done done) {
    done.rows().forEach(json.putArray("rows")::add);
    done.position()
        .ifPresent(
            position ->
                json.putObject("position")
                    .put("term", position.term())
                    .put("index", position.index()));
    json.put("replay", done.replay());
    done.transaction().ifPresent(id -> json.put("transaction", id));
    done.idempotencyKey().ifPresent(key -> json.put("idempotencyKey", key));
    done.ageMillis().ifPresent(age -> json.put("ageMillis", age));
    json.putObject("servedBy")
        .put("member", done.servedBy().member().value())
        .put("role", done.servedBy().primary() ? "primary" : "replica")
        .put("reason", FieldReader.jsonName(done.servedBy().reason()));
  }

  private static void writeFailure(ObjectNode json, Failure failure) {
    json.put("code", failure.code()).put("message", failure.message());
  }

  /**
   * Wraps an answer in an HTTP response.
   *
   * @param json the answer as returned by {@link #write}
   * @return the response with the HTTP status and, for a not-run answer, the retry delay
   */
  public static HttpServerResponse response(JsonNode json) {
    int status = status(json.path("outcome").asText(), json.path("code").asText());
    OptionalLong retryAfter =
        json.has("retryAfterMillis")
            ? OptionalLong.of(json.path("retryAfterMillis").asLong())
            : OptionalLong.empty();
    return new HttpServerResponse(status, json, Optional.empty(), retryAfter, Map.of());
  }

  private static int status(String outcome, String code) {
    return switch (outcome) {
      case DONE -> STATUS_OK;
      case NOT_RUN -> STATUS_UNAVAILABLE;
      case UNKNOWN -> STATUS_TIMEOUT;
      default -> refusedStatus(code);
    };
  }

  private static int refusedStatus(String code) {
    return switch (code) {
      case "token-invalid" -> STATUS_UNAUTHORIZED;
      case "unknown-database" -> STATUS_NOT_FOUND;
      case "session-branch-lost", "conflict", "key-reused" -> STATUS_CONFLICT;
      default -> STATUS_BAD_REQUEST;
    };
  }
}
