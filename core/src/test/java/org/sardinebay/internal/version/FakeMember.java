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

/** A fake member. Its log contains only the term of each entry. */
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

  /** Restarts the member: it loses its role, but keeps its log, its term and the term's owner. */
  void restart() {
    role = MemberRole.FENCED;
    synced = false;
  }

  void append() {
    log.add(term);
  }

  boolean contains(Position position) {
    int index = (int) position.index();
    return log.size() >= index && log.get(index - 1) == position.term();
  }

  /** Drops the entries that the source does not have, and copies up to {@code maxEntries} more. */
  void replicateFrom(FakeMember source, int maxEntries) {
    if (source.role != MemberRole.PRIMARY || source.term != term) {
      return;
    }
    int commonLength = 0;
    while (commonLength < Math.min(log.size(), source.log.size())
        && log.get(commonLength).equals(source.log.get(commonLength))) {
      commonLength++;
    }
    log.subList(commonLength, log.size()).clear();
    log.addAll(
        source.log.subList(commonLength, Math.min(source.log.size(), commonLength + maxEntries)));
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
    List<Position> termStarts = new ArrayList<>();
    for (int i = 0; i < log.size(); i++) {
      if (i == 0 || !log.get(i).equals(log.get(i - 1))) {
        termStarts.add(new Position(log.get(i), i + 1L));
      }
    }
    return termStarts;
  }

  EndpointReply handle(EndpointCall call) {
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
    boolean alreadyPrimary = role == MemberRole.PRIMARY && call.term() == term;
    if (call.term() < term || alreadyPrimary) {
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
