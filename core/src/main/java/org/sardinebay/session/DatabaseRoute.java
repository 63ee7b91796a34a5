package org.sardinebay.session;

/**
 * How the sessions of a database are served.
 *
 * @param database the name that callers use
 * @param service the service that holds the data
 * @param kind which commits reads must reflect
 * @param maxStalenessMillis reads may miss commits younger than this, in milliseconds; 0 for {@link
 *     RouteKind#PRIMARY}
 * @param timeoutMillis how long one statement may take, in milliseconds
 * @param targetMillis the target latency of an operation, in milliseconds
 * @param priority the priority; 0 is the highest
 * @param open whether callers need no key
 */
public record DatabaseRoute(
    String database,
    String service,
    RouteKind kind,
    long maxStalenessMillis,
    long timeoutMillis,
    long targetMillis,
    int priority,
    boolean open) {}
