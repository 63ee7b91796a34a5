package org.sardinebay.gateway.internal.connection;

/** Why a connection to a member was lost or closed. */
public enum LossCause {
  /** The address refused the connection. */
  REFUSED,
  /** The connection was not opened in time, or opening it failed other than by a refusal. */
  CONNECT_TIMEOUT,
  /** The member closed or reset the connection. */
  CLOSED,
  /** No answer came in time. */
  ANSWER_TIMEOUT,
  /** A message was malformed, too long or out of sequence. */
  OUT_OF_STEP,
  /** The answer may repeat an earlier one of the connection. */
  UNPROVEN,
  /** This host closed the connection because it was no longer needed or could not be reused. */
  DISCARDED
}
