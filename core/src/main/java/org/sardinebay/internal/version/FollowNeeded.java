package org.sardinebay.internal.version;

import org.sardinebay.MemberId;
import org.sardinebay.endpoint.EndpointCall;

/**
 * A member that should follow the current primary and does not.
 *
 * @param member which
 * @param call what to send it
 */
public record FollowNeeded(MemberId member, EndpointCall.Follow call) {}
