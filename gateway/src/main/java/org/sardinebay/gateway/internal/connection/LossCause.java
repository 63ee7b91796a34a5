package org.sardinebay.gateway.internal.connection;

/** Why a connection to a member was given up. */
public enum LossCause {
  /** The address refused the connection. */
  REFUSED,
  /** The connection could not be made in time. */
  CONNECT_TIMEOUT,
  /** The member closed or reset the connection. */
  CLOSED,
  /** No answer came in time. */
  ANSWER_TIMEOUT,
  /** A message made no sense at its place. */
  OUT_OF_STEP,
  /** This host gave it up: the member or the caller has gone. */
  DISCARDED
}
