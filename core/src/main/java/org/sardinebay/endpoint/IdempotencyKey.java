package org.sardinebay.endpoint;

/**
 * Identifies one intended effect. The key is recorded in the database in the same transaction as
 * the effect.
 *
 * @param value the key, unique per request of a caller
 * @param fingerprint a hash of the request, which detects a key that is used for two different
 *     requests
 */
public record IdempotencyKey(String value, String fingerprint) {}
