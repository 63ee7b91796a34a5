package org.sardinebay.standins.driver;

/** How the JVMs of a deployment compile. */
enum JvmMode {
  /** First compiler only: starts fast, for demo and proofs. */
  FAST_START,
  /** All compilers, for measurements. */
  FULL
}
