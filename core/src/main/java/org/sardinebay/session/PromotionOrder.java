package org.sardinebay.session;

import org.sardinebay.HostId;
import org.sardinebay.MemberId;

/**
 * An order to make a member the primary of its service.
 *
 * @param service the service
 * @param member the member to promote
 * @param holder the host that sends the order
 * @param token the holder's fencing token; increases whenever the holder changes
 */
public record PromotionOrder(String service, MemberId member, HostId holder, long token) {}
