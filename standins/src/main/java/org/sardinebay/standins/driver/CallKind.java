package org.sardinebay.standins.driver;

/** The kinds of request that a proxy accepts. */
enum CallKind {
  READ,
  WRITE,
  BEGIN,
  STATEMENT,
  COMMIT,
  ROLLBACK
}
