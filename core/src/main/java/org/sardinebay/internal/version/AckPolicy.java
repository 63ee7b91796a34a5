package org.sardinebay.internal.version;

import org.sardinebay.Position;
import org.sardinebay.record.AckPolicyName;

/** Decides when a write executed by the primary is acknowledged to its caller. */
public interface AckPolicy {
  /**
   * Whether a write may be acknowledged.
   *
   * @param view the current view of the database
   * @param position the position of the write's log entry, in the view's term or an older one
   * @return true if the write may be acknowledged
   */
  boolean acknowledges(DatabaseView view, Position position);

  /**
   * Returns the policy with the name given in a database's record.
   *
   * @param name the name
   * @return the policy
   */
  static AckPolicy named(AckPolicyName name) {
    return switch (name) {
      case MAJORITY -> new MajorityAck();
      case ONE_REPLICA -> new OneReplicaAck();
      case PRIMARY_ONLY -> new PrimaryOnlyAck();
    };
  }
}
