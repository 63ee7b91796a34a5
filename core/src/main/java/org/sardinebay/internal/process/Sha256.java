package org.sardinebay.internal.process;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Creates SHA-256 digests. */
public final class Sha256 {
  private Sha256() {}

  /**
   * Creates a digest without input.
   *
   * @return the digest
   */
  public static MessageDigest create() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Java runtime lacks SHA-256", e);
    }
  }
}
