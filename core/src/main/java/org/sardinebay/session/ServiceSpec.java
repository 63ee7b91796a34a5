package org.sardinebay.session;

/**
 * A replicated database service.
 *
 * @param name the service's name
 * @param maxConnections the number of connections that each member accepts from all hosts together
 * @param synchronousReplicas the number of replicas that have received a commit before it is
 *     acknowledged; 0 if a commit is acknowledged without waiting for replicas
 */
public record ServiceSpec(String name, int maxConnections, int synchronousReplicas) {}
