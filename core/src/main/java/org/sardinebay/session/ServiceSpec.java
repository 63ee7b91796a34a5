package org.sardinebay.session;

/**
 * A replicated database service.
 *
 * @param name the service's name
 * @param maxConnections the number of connections that each member accepts from all hosts together
 */
public record ServiceSpec(String name, int maxConnections) {}
