package org.sardinebay.standins.endpoint;

import org.sardinebay.MemberId;
import org.sardinebay.Position;

/**
 * A replica's request for log entries.
 *
 * @param term the term of the replica
 * @param primary the primary that the replica follows
 * @param after the position of the last entry in the replica's log
 * @param waitMillis the time in milliseconds that the primary may wait for a new entry before it
 *     replies
 */
record PullRequest(long term, MemberId primary, Position after, long waitMillis) {}
