package org.sardinebay.standins.endpoint;

import org.sardinebay.MemberId;
import org.sardinebay.Position;

/**
 * A replica's request for entries.
 *
 * @param term the term that the replica follows
 * @param primary the primary that it follows
 * @param after the last entry of its log
 * @param waitMillis how long the primary may wait for a new entry
 */
record PullRequest(long term, MemberId primary, Position after, long waitMillis) {}
