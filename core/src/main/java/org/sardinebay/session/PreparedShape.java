package org.sardinebay.session;

/**
 * The definition of a prepared statement, without its name.
 *
 * @param access whether the statement reads or writes
 * @param shape the definition's text, opaque to the proxy
 */
public record PreparedShape(Statement.Access access, String shape) {}
