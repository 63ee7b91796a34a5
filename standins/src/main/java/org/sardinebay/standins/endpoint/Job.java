package org.sardinebay.standins.endpoint;

import java.util.Optional;
import org.sardinebay.endpoint.EndpointCall;

/**
 * A statement on its way to a slot.
 *
 * @param ticket the call's ticket
 * @param call the call
 * @param connection the connection that it runs on
 * @param statement what it runs, if the kind needs a text
 * @param deadlineAt from when on it is not started any more
 */
record Job(
    long ticket,
    EndpointCall.Execute call,
    Connection connection,
    Optional<Statement> statement,
    long deadlineAt) {}
