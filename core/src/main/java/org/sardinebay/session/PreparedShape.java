package org.sardinebay.session;

/**
 * What a prepared statement does, apart from its name.
 *
 * @param access whether it reads or writes
 * @param shape the statement's shape, opaque to the proxy
 */
public record PreparedShape(Statement.Access access, String shape) {}
