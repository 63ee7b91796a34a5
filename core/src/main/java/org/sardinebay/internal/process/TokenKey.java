package org.sardinebay.internal.process;

/**
 * A secret key that authenticates session tokens.
 *
 * @param id identifies the key inside tokens, so that keys can be rotated
 * @param secret the secret, as text
 */
public record TokenKey(String id, String secret) {
  @Override
  public String toString() {
    return "TokenKey[" + id + "]";
  }
}
