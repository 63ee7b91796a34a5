package org.sardinebay.session;

import org.sardinebay.HostId;
import org.sardinebay.MemberId;

/**
 * An order to make a member the primary of its service.
 *
 * @param service the service
 * @param member the member that is to lead
 * @param holder the host that gives the order
 * @param token the holder's fencing token; grows whenever the holder changes
 */
public record PromotionOrder(String service, MemberId member, HostId holder, long token) {}
