package org.sardinebay.gateway.internal.connection;

/**
 * An idle connection that was acquired for a control statement.
 *
 * @param connection the connection
 * @param release returns it to its pool
 */
public record ControlConnection(MemberConnection connection, Runnable release) {}
