package org.sardinebay.internal.process;

import java.nio.charset.StandardCharsets;

/**
 * A 64-bit hash for orders and comparisons that all processes must compute alike: FNV-1a with the
 * final mix of MurmurHash3, which spreads names that differ in one character. Unlike SHA-256 it is
 * cheap enough for a process that has just started and is not compiled yet. It is no protection
 * against chosen input.
 *
 * <pre>{@code
 * long score = Hash64.of(service, host);
 * }</pre>
 */
public final class Hash64 {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_1 = 0xff51afd7ed558ccdL;
  private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;

  private Hash64() {}

  /**
   * Hashes a sequence of texts; where one ends and the next begins counts.
   *
   * @param parts the texts
   * @return the hash
   */
  public static long of(String... parts) {
    long hash = FNV_OFFSET;
    for (String part : parts) {
      for (byte octet : part.getBytes(StandardCharsets.UTF_8)) {
        hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
      }
      // No octet of UTF-8 has this value.
      hash = (hash ^ 0xff) * FNV_PRIME;
    }
    return mix(hash);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> MIX_SHIFT)) * MIX_1;
    mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_2;
    return mixed ^ (mixed >>> MIX_SHIFT);
  }
}
