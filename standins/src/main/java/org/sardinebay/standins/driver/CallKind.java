package org.sardinebay.standins.driver;

/** What a request to a proxy is. */
enum CallKind {
  READ,
  WRITE,
  BEGIN,
  STATEMENT,
  COMMIT,
  ROLLBACK
}
