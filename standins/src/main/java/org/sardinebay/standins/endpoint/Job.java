package org.sardinebay.standins.endpoint;

import java.util.Optional;
import org.sardinebay.endpoint.EndpointCall;

/**
 * A statement that waits for a slot or occupies one.
 *
 * @param ticket the ticket of the call
 * @param call the call
 * @param connection the connection on which the statement runs
 * @param statement the parsed statement, if its kind needs a text
 * @param deadlineAt the time in milliseconds from which the statement is no longer started
 */
record Job(
    long ticket,
    EndpointCall.Execute call,
    Connection connection,
    Optional<Statement> statement,
    long deadlineAt) {}
