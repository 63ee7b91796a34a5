package org.sardinebay.session;

/**
 * How a database's sessions are served.
 *
 * @param database the name that callers use
 * @param service the service that holds the data
 * @param kind which commits reads must show
 * @param maxStalenessMillis the age of commits that reads may lack; 0 for {@link RouteKind#PRIMARY}
 * @param timeoutMillis how long one statement may take
 * @param targetMillis how soon an operation should be done
 * @param priority 0 is served first
 */
public record DatabaseRoute(
    String database,
    String service,
    RouteKind kind,
    long maxStalenessMillis,
    long timeoutMillis,
    long targetMillis,
    int priority) {}
