package org.sardinebay.internal.version;

import org.sardinebay.Position;
import org.sardinebay.record.AckPolicyName;

/** Decides when a write that the primary ran is acknowledged to its caller. */
public interface AckPolicy {
  /**
   * Whether a write may be acknowledged.
   *
   * @param view what is known of the database
   * @param position the write's entry, of the view's term or an older one
   * @return true if it may
   */
  boolean acknowledges(DatabaseView view, Position position);

  /**
   * The policy that a database's record names.
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
