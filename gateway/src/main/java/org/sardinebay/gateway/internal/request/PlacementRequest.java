package org.sardinebay.gateway.internal.request;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sardinebay.MemberId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.MemberConnection;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.internal.request.PlacementRequirement;
import org.sardinebay.internal.request.StatementDemand;
import org.sardinebay.internal.request.StatementDurations;
import org.sardinebay.internal.request.WaitEstimate;
import org.sardinebay.internal.version.StatementClass;

/**
 * A request for a connection to a member, made for a statement outside a transaction or for the
 * first one of a transaction.
 */
public interface PlacementRequest {
  /**
   * Returns what the statement currently requires of a member.
   *
   * @return the requirement
   */
  PlacementRequirement requirement();

  /**
   * Whether only the primary can run the statement, whatever position it requires.
   *
   * @return true for writes and on routes that always read at the primary
   */
  boolean primaryOnly();

  /**
   * Returns the class of the statement, by which the members' durations are compared.
   *
   * @return the class
   */
  StatementClass statementClass();

  /**
   * Returns the session's values. A connection that already holds these values is preferred.
   *
   * @return the values
   */
  Map<String, String> values();

  /**
   * Returns the workspace that the statement runs for. Only a connection that was started for this
   * workspace can run it.
   *
   * @return the workspace, empty if the deployment has none
   */
  Optional<WorkspaceId> workspace();

  /**
   * Returns the members that must not run the statement.
   *
   * @return their ids
   */
  Set<MemberId> excluded();

  /**
   * Returns the kind of statement, which its expected duration depends on.
   *
   * @return the kind
   */
  StatementDurations.Kind kind();

  /**
   * Returns what the statement asks for while it waits.
   *
   * @param workMillis how long it is expected to occupy a connection, in milliseconds
   * @return the demand
   */
  StatementDemand demand(double workMillis);

  /**
   * Called when the statement has to wait for a connection.
   *
   * @param expectedMillis the expected wait in milliseconds, empty if it is not estimated
   */
  void onWaiting(OptionalLong expectedMillis);

  /**
   * Called if the statement would wait beyond its deadline.
   *
   * @param expected the expected wait
   * @param onArrival whether it was rejected on arrival; false if it has waited
   */
  void onRejected(WaitEstimate.Expected<PlacementRequest> expected, boolean onArrival);

  /**
   * Called with the connection acquired for the statement.
   *
   * @param pool the pool to release the connection to
   * @param connection the connection
   * @param requirement the requirement that the member was chosen by
   * @param asPrimary whether the member was chosen as the primary, with a valid lease
   */
  void onConnection(
      MemberPool pool,
      MemberConnection connection,
      PlacementRequirement requirement,
      boolean asPrimary);

  /** Called if no connection became available in time. */
  void onNotPlaced();
}
