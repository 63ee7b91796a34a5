package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/** The fenced members of one term, and the choice among them. */
final class FenceRound {
  private final DatabaseRecord database;
  private final Map<MemberId, Position> fenced = new HashMap<>();
  private final Set<MemberId> refused = new HashSet<>();
  private final Set<MemberId> calling = new HashSet<>();

  FenceRound(DatabaseRecord database) {
    this.database = database;
  }

  /** The members that a call should go to now. Marks them as being called. */
  List<MemberId> due() {
    List<MemberId> due =
        database.members().stream()
            .map(MemberRecord::id)
            .filter(member -> !fenced.containsKey(member))
            .filter(member -> !refused.contains(member))
            .filter(member -> !calling.contains(member))
            .toList();
    calling.addAll(due);
    return due;
  }

  void fenced(MemberId member, Position received) {
    calling.remove(member);
    fenced.put(member, received);
  }

  void refused(MemberId member) {
    calling.remove(member);
    refused.add(member);
  }

  void failed(MemberId member) {
    calling.remove(member);
  }

  boolean majority() {
    return fenced.size() >= database.majority();
  }

  /** Whether so many members refused that no majority is left. */
  boolean lost() {
    return database.members().size() - refused.size() < database.majority();
  }

  /** Whether no call is in progress, but for the one to the member that is known to be silent. */
  boolean settled(Optional<MemberId> silent) {
    return calling.stream().allMatch(member -> silent.filter(member::equals).isPresent());
  }

  Position received(MemberId member) {
    return fenced.get(member);
  }

  /**
   * Chooses the most advanced of the fenced members, so that it has every entry that a majority
   * confirmed. Members that are leaving are passed over if the others make a majority of their own.
   */
  MemberId choose(Set<MemberId> leaving, Map<MemberId, Long> applyLags) {
    List<MemberId> staying =
        fenced.keySet().stream().filter(member -> !leaving.contains(member)).toList();
    boolean enough = staying.size() >= database.majority();
    return mostAdvanced(enough ? staying : fenced.keySet(), applyLags);
  }

  private MemberId mostAdvanced(Collection<MemberId> candidates, Map<MemberId, Long> applyLags) {
    Comparator<MemberId> mostReceived =
        Comparator.<MemberId, Position>comparing(fenced::get).reversed();
    return candidates.stream()
        .min(
            mostReceived
                .thenComparing(member -> applyLags.getOrDefault(member, Long.MAX_VALUE))
                .thenComparing(Comparator.naturalOrder()))
        .orElseThrow();
  }
}
