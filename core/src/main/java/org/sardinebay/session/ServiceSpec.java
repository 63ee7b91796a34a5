package org.sardinebay.session;

/**
 * A replicated database service.
 *
 * @param name its name
 * @param maxConnections connections that each of its members accepts from all hosts together
 */
public record ServiceSpec(String name, int maxConnections) {}
