package org.sardinebay.endpoint;

/**
 * Names one intended effect, entered in the database in the same transaction as the effect.
 *
 * @param value the key, unique for one caller's request
 * @param fingerprint a hash of the request, so that one key can't stand for two requests
 */
public record IdempotencyKey(String value, String fingerprint) {}
