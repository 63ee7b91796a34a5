package org.sardinebay.endpoint;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.sardinebay.CallerRequest;
import org.sardinebay.internal.process.Sha256;

/**
 * Identifies one intended effect. The key is recorded in the database in the same transaction as
 * the effect.
 *
 * <pre>{@code
 * IdempotencyKey key = IdempotencyKey.of(request, callerKey);
 * }</pre>
 *
 * @param value the key, unique per request of a caller
 * @param fingerprint a digest of the request, which detects a key that is used for two different
 *     requests
 */
public record IdempotencyKey(String value, String fingerprint) {
  /**
   * Creates the key of a request.
   *
   * @param request the request
   * @param key the key that the caller chose, or one that was generated for it
   * @return the key, which other callers' keys are never equal to
   */
  public static IdempotencyKey of(CallerRequest request, String key) {
    MessageDigest digest = Sha256.create();
    digest.update(request.kind().name().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    digest.update(request.statement().getBytes(StandardCharsets.UTF_8));
    return new IdempotencyKey(
        request.caller().value().length() + ":" + request.caller() + ":" + key,
        HexFormat.of().formatHex(digest.digest()));
  }
}
