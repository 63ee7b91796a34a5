package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;

/** A member whose log holds the term of each entry. */
final class FakeMember {
  private final MemberId id;
  private final Consumer<FakeMember> onPromoted;
  private final List<Long> log = new ArrayList<>();
  private long term;
  private MemberRole role = MemberRole.FENCED;
  private String owner = "";
  private MemberId primary;
  private boolean synced;

  FakeMember(MemberId id, Consumer<FakeMember> onPromoted) {
    this.id = id;
    this.onPromoted = onPromoted;
  }

  MemberId id() {
    return id;
  }

  long term() {
    return term;
  }

  MemberRole role() {
    return role;
  }

  Optional<MemberId> primary() {
    return Optional.ofNullable(primary);
  }

  /** Keeps its log, its term and the term's owner, and leads nothing any more. */
  void restart() {
    role = MemberRole.FENCED;
    synced = false;
  }

  void append() {
    log.add(term);
  }

  boolean holds(Position position) {
    int index = (int) position.index();
    return log.size() >= index && log.get(index - 1) == position.term();
  }

  /** Drops what the source does not have and takes some of its entries. */
  void pull(FakeMember source, int entries) {
    if (source.role != MemberRole.PRIMARY || source.term != term) {
      return;
    }
    int common = 0;
    while (common < Math.min(log.size(), source.log.size())
        && log.get(common).equals(source.log.get(common))) {
      common++;
    }
    log.subList(common, log.size()).clear();
    log.addAll(source.log.subList(common, Math.min(source.log.size(), common + entries)));
    synced = true;
  }

  Position received() {
    return log.isEmpty() ? Position.ZERO : new Position(log.get(log.size() - 1), log.size());
  }

  EndpointReply.Standing standing() {
    return new EndpointReply.Standing(
        id, term, role, primary(), received(), received(), synced, history(), false, 0);
  }

  private List<Position> history() {
    List<Position> starts = new ArrayList<>();
    for (int i = 0; i < log.size(); i++) {
      if (i == 0 || !log.get(i).equals(log.get(i - 1))) {
        starts.add(new Position(log.get(i), i + 1L));
      }
    }
    return starts;
  }

  EndpointReply take(EndpointCall call) {
    if (call instanceof EndpointCall.Fence fence) {
      return fence(fence);
    }
    if (call instanceof EndpointCall.Promote promote) {
      return promote(promote);
    }
    if (call instanceof EndpointCall.Follow follow) {
      return follow(follow);
    }
    return standing();
  }

  private EndpointReply fence(EndpointCall.Fence call) {
    if (call.term() > term) {
      term = call.term();
      owner = call.owner();
      role = MemberRole.FENCED;
      synced = false;
    } else if (call.term() < term || !call.owner().equals(owner)) {
      return refused();
    }
    return new EndpointReply.Obeyed(term, received());
  }

  private EndpointReply promote(EndpointCall.Promote call) {
    if (call.term() != term || !call.owner().equals(owner) || role == MemberRole.REPLICA) {
      return refused();
    }
    if (role != MemberRole.PRIMARY) {
      role = MemberRole.PRIMARY;
      primary = id;
      log.add(term);
      onPromoted.accept(this);
    }
    return new EndpointReply.Obeyed(term, received());
  }

  private EndpointReply follow(EndpointCall.Follow call) {
    boolean leads = role == MemberRole.PRIMARY && call.term() == term;
    if (call.term() < term || leads) {
      return refused();
    }
    if (call.term() > term) {
      owner = "";
    }
    term = call.term();
    role = MemberRole.REPLICA;
    primary = call.primary();
    synced = false;
    return new EndpointReply.Obeyed(term, received());
  }

  private EndpointReply refused() {
    return new EndpointReply.Refused(EndpointRefusal.STALE_TERM, term, received());
  }
}
