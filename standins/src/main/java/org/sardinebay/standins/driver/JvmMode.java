package org.sardinebay.standins.driver;

/** Which JIT compilers the JVMs of a deployment use. */
enum JvmMode {
  /** C1 only, for a fast start in {@code demo}, {@code prove} and {@code capacity}. */
  FAST_START,
  /** All tiers, for {@code measure}. */
  FULL
}
