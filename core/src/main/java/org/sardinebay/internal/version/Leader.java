package org.sardinebay.internal.version;

import org.sardinebay.MemberId;

/**
 * The primary of the newest term that has one, as far as this process knows.
 *
 * @param term the term
 * @param member its primary
 * @param knownSinceMillis when this process learned of it
 */
public record Leader(long term, MemberId member, long knownSinceMillis) {}
