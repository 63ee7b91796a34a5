package org.sardinebay.internal.process;

/**
 * A secret that authenticates session tokens.
 *
 * @param id names the key inside tokens, so that keys can be rotated
 * @param secret the secret text
 */
public record TokenKey(String id, String secret) {
  @Override
  public String toString() {
    return "TokenKey[" + id + "]";
  }
}
