package org.sardinebay.standins.endpoint;

import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;

/** Handles the calls that change the term or role of a member: fence, promote and follow. */
final class TermControl {
  private final MemberState state;
  private final Replica replica;
  private final Connections connections;

  TermControl(MemberState state, Replica replica, Connections connections) {
    this.state = state;
    this.replica = replica;
    this.connections = connections;
  }

  EndpointReply fence(EndpointCall.Fence call) {
    if (call.term() == state.term() && call.owner().equals(state.owner())) {
      return obeyed();
    }
    if (call.term() <= state.term()) {
      return state.refused(EndpointRefusal.STALE_TERM);
    }
    leaveTerm();
    state.fence(call.term(), call.owner());
    return obeyed();
  }

  EndpointReply promote(EndpointCall.Promote call) {
    boolean fencedByOther = call.term() == state.term() && !call.owner().equals(state.owner());
    if (call.term() < state.term() || fencedByOther) {
      return state.refused(EndpointRefusal.STALE_TERM);
    }
    Optional<MemberId> primary = state.primary();
    boolean otherLeads = primary.isPresent() && !primary.get().equals(state.self());
    if (call.term() > state.term() || state.role() == MemberRole.REPLICA || otherLeads) {
      return state.refused(EndpointRefusal.NOT_PRIMARY);
    }
    if (state.role() != MemberRole.PRIMARY) {
      state.becomePrimary();
    }
    return obeyed();
  }

  EndpointReply follow(EndpointCall.Follow call) {
    if (call.term() < state.term()) {
      return state.refused(EndpointRefusal.STALE_TERM);
    }
    boolean sameTerm = call.term() == state.term();
    Optional<MemberId> known = sameTerm ? state.primary() : Optional.empty();
    boolean otherLeads = known.isPresent() && !known.get().equals(call.primary());
    if (otherLeads || call.primary().equals(state.self())) {
      return state.refused(EndpointRefusal.BAD_CALL);
    }
    if (!sameTerm || state.role() != MemberRole.REPLICA) {
      leaveTerm();
      state.follow(call.term(), call.primary());
      replica.start(call.address());
    } else {
      replica.relocate(call.address());
    }
    return obeyed();
  }

  private void leaveTerm() {
    replica.stop();
    connections.dropTransactions();
  }

  private EndpointReply obeyed() {
    return new EndpointReply.Obeyed(state.term(), state.log().last());
  }
}
