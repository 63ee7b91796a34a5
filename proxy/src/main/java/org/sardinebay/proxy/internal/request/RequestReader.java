package org.sardinebay.proxy.internal.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.CallerId;
import org.sardinebay.CallerRequest;
import org.sardinebay.DatabaseId;
import org.sardinebay.Failure;
import org.sardinebay.RequestKind;
import org.sardinebay.record.FieldProblem;
import org.sardinebay.record.FieldReader;

/**
 * Parses and validates callers' requests.
 *
 * <pre>{@code
 * RequestReader.Result result = RequestReader.read(body, requestId);
 * }</pre>
 */
public final class RequestReader {
  /** The maximum length of a statement, in characters. */
  public static final int MAX_STATEMENT_LENGTH = 65_536;

  /** The maximum length of a name or key, in characters. */
  public static final int MAX_NAME_LENGTH = 200;

  /** The request timeout in milliseconds if the caller gives none. */
  public static final long DEFAULT_TIMEOUT_MILLIS = 5_000;

  /** The maximum request timeout that a caller may set, in milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 60_000;

  private static final long MAX_AGE_LIMIT_MILLIS = 86_400_000L;

  private RequestReader() {}

  /** The result of parsing: a valid request, or the reason why it was rejected. */
  public sealed interface Result {
    /**
     * A valid request.
     *
     * @param request the validated request
     */
    record Valid(CallerRequest request) implements Result {}

    /**
     * An invalid request.
     *
     * @param failure the first validation error
     */
    record Invalid(Failure failure) implements Result {}
  }

  /**
   * Parses one request.
   *
   * @param body the request body, empty if it is not JSON
   * @param requestId the id assigned to the request
   * @return the valid request, or the first validation error
   */
  public static Result read(Optional<JsonNode> body, String requestId) {
    if (body.isEmpty() || !body.get().isObject()) {
      return new Result.Invalid(new Failure.NotJson());
    }
    FieldReader reader = FieldReader.of(body.get());
    RequestKind kind = reader.enumConstant("kind", RequestKind.READ);
    if (!reader.has("kind")) {
      reader.addProblem("kind", "read, write, begin, statement, commit or rollback");
    }
    CallerRequest request =
        new CallerRequest(
            requestId,
            new CallerId(reader.text("caller")),
            new DatabaseId(reader.text("database")),
            kind,
            statement(reader, kind),
            optional(reader, "sessionToken", Integer.MAX_VALUE),
            maxAge(reader),
            reader.flag("repeatable", false),
            optional(reader, "idempotencyKey", MAX_NAME_LENGTH),
            reader.number("timeoutMillis", 1, MAX_TIMEOUT_MILLIS, DEFAULT_TIMEOUT_MILLIS),
            transaction(reader, kind));
    checkLength(reader, "caller", request.caller().value());
    checkLength(reader, "database", request.database().value());
    reader.rejectUnknownFields();
    List<FieldProblem> problems = reader.problems();
    return problems.isEmpty()
        ? new Result.Valid(request)
        : new Result.Invalid(new Failure.BadRequest(problems.get(0)));
  }

  private static String statement(FieldReader reader, RequestKind kind) {
    boolean required =
        kind == RequestKind.READ || kind == RequestKind.WRITE || kind == RequestKind.STATEMENT;
    String statement = required ? reader.text("statement") : reader.text("statement", "");
    if (statement.length() > MAX_STATEMENT_LENGTH) {
      reader.addProblem("statement", "a text of at most " + MAX_STATEMENT_LENGTH + " characters");
    }
    return statement;
  }

  private static OptionalLong maxAge(FieldReader reader) {
    long age = reader.number("maxAgeMillis", 0, MAX_AGE_LIMIT_MILLIS, 0);
    return reader.has("maxAgeMillis") ? OptionalLong.of(age) : OptionalLong.empty();
  }

  private static Optional<String> transaction(FieldReader reader, RequestKind kind) {
    return kind.insideTransaction()
        ? Optional.of(reader.text("transaction"))
        : optional(reader, "transaction", MAX_NAME_LENGTH);
  }

  private static Optional<String> optional(FieldReader reader, String field, int maxLength) {
    String text = reader.text(field, "");
    if (text.length() > maxLength) {
      reader.addProblem(field, "a text of at most " + maxLength + " characters");
    }
    return text.isEmpty() ? Optional.empty() : Optional.of(text);
  }

  private static void checkLength(FieldReader reader, String field, String value) {
    if (value.length() > MAX_NAME_LENGTH) {
      reader.addProblem(field, "a text of at most " + MAX_NAME_LENGTH + " characters");
    }
  }
}
