package org.sardinebay.internal.version;

import org.sardinebay.MemberId;

/**
 * The primary of the newest term for which this process knows one.
 *
 * @param term the term
 * @param member its primary
 * @param knownSinceMillis when this process learned of it
 */
public record KnownPrimary(long term, MemberId member, long knownSinceMillis) {}
