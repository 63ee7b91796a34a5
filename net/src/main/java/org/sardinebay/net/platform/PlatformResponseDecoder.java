package org.sardinebay.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Function;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformResult;

/**
 * Converts HTTP responses of an object service to {@link PlatformResult}s.
 *
 * <pre>{@code
 * PlatformResult result = PlatformResponseDecoder.decode(response, this::found, this::conflict);
 * }</pre>
 */
public final class PlatformResponseDecoder {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int RATE_LIMITED = 429;
  private static final int UNAVAILABLE = 503;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  private PlatformResponseDecoder() {}

  /**
   * Decodes one response.
   *
   * @param result the result of the HTTP call
   * @param reader decodes the body of a success; returns empty if the body is invalid
   * @param conflict decodes the body of a version conflict
   * @return the result
   */
  public static PlatformResult decode(
      HttpCallResult result,
      Function<JsonNode, Optional<PlatformResult>> reader,
      Function<JsonNode, PlatformResult> conflict) {
    if (result instanceof HttpCallResult.NotSent) {
      return failed(PlatformFailure.NOT_SENT);
    }
    if (!(result instanceof HttpCallResult.Response response)) {
      return failed(PlatformFailure.NO_ANSWER);
    }
    return switch (response.status()) {
      case OK, CREATED -> reader.apply(response.body()).orElse(failed(PlatformFailure.NO_ANSWER));
      case NOT_FOUND -> new PlatformResult.Absent();
      case CONFLICT -> conflict.apply(response.body());
      case GONE -> failed(PlatformFailure.HISTORY_GONE);
      case RATE_LIMITED -> failed(PlatformFailure.RATE_LIMITED);
      case UNAVAILABLE -> failed(PlatformFailure.UNAVAILABLE);
      default ->
          failed(
              isClientError(response.status())
                  ? PlatformFailure.BAD_CALL
                  : PlatformFailure.NO_ANSWER);
    };
  }

  private static boolean isClientError(int status) {
    return status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
  }

  private static PlatformResult failed(PlatformFailure failure) {
    return new PlatformResult.Failed(failure);
  }
}
