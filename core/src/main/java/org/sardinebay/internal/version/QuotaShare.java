package org.sardinebay.internal.version;

/**
 * What one keeper may grant of a workspace's limit.
 *
 * @param tokensPerSecond the rate at which its bucket fills
 * @param capacity the maximum number of tokens in the bucket
 */
public record QuotaShare(double tokensPerSecond, double capacity) {}
