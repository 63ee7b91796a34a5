package org.sardinebay.internal.version;

import org.sardinebay.MemberId;
import org.sardinebay.endpoint.EndpointCall;

/**
 * A member that should follow the current primary but doesn't.
 *
 * @param member the member
 * @param call the call to send to it
 */
public record PendingFollow(MemberId member, EndpointCall.Follow call) {}
