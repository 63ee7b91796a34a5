package org.sardinebay.record;

/**
 * Limits how stale the reads of some callers may be. If several rules match a read, the strictest
 * one applies.
 *
 * @param name the rule's name, which is also the record's name
 * @param database the database or service that the rule applies to, {@code *} for all
 * @param callerPrefix the rule applies to callers whose names start with this prefix, empty for all
 * @param maxAgeMillis the greatest maximum age that a read may state, in milliseconds
 */
public record StalenessRecord(
    String name, String database, String callerPrefix, long maxAgeMillis) {}
