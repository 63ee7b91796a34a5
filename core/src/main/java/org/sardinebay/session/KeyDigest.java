package org.sardinebay.session;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The SHA-256 digest of a caller's key. Sessions and workspaces hold digests, so that a key is kept
 * nowhere outside the configuration itself.
 */
public final class KeyDigest {
  private final byte[] digest;

  private KeyDigest(byte[] digest) {
    this.digest = digest;
  }

  /**
   * Computes the digest of a key given as text.
   *
   * @param key the key
   * @return the digest of its bytes in UTF-8
   */
  public static KeyDigest of(String key) {
    return of(key.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Computes the digest of a key given as bytes, in the form that callers send it.
   *
   * @param key the key's bytes in UTF-8
   * @return the digest
   */
  public static KeyDigest of(byte[] key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return new KeyDigest(sha256.digest(key));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof KeyDigest that && MessageDigest.isEqual(digest, that.digest);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(digest);
  }

  /** Returns a constant text, so that no digest reaches a log. */
  @Override
  public String toString() {
    return "KeyDigest";
  }
}
