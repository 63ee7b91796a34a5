package org.sardinebay.internal.version;

import org.sardinebay.session.RouteKind;

/**
 * Statements that need about the same time at a member.
 *
 * @param route the kind of the route that they arrive on
 * @param writes whether they may write
 */
public record StatementClass(RouteKind route, boolean writes) {}
