package org.sardinebay.record;

/**
 * Says how stale reads of some callers may be. Of the rules that match, the strictest holds.
 *
 * @param name the rule's name, equal to the record's
 * @param database the database or service it holds for, {@code *} for all
 * @param callerPrefix the beginning of the names of the callers it holds for, empty for all
 * @param maxAgeMillis the greatest age that a read may ask for
 */
public record StalenessRecord(
    String name, String database, String callerPrefix, long maxAgeMillis) {}
