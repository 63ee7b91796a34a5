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

/** Collects the members fenced in one term and selects the one to promote. */
final class FenceRound {
  private final DatabaseRecord database;
  private final Map<MemberId, Position> fenced = new HashMap<>();
  private final Set<MemberId> refused = new HashSet<>();
  private final Set<MemberId> pendingCalls = new HashSet<>();

  FenceRound(DatabaseRecord database) {
    this.database = database;
  }

  /** Returns the members to call now, and marks them as being called. */
  List<MemberId> due() {
    List<MemberId> due =
        database.members().stream()
            .map(MemberRecord::id)
            .filter(member -> !fenced.containsKey(member))
            .filter(member -> !refused.contains(member))
            .filter(member -> !pendingCalls.contains(member))
            .toList();
    pendingCalls.addAll(due);
    return due;
  }

  void fenced(MemberId member, Position received) {
    pendingCalls.remove(member);
    fenced.put(member, received);
  }

  void refused(MemberId member) {
    pendingCalls.remove(member);
    refused.add(member);
  }

  void failed(MemberId member) {
    pendingCalls.remove(member);
  }

  boolean majorityFenced() {
    return fenced.size() >= database.majority();
  }

  /** Whether so many members refused that no majority can be fenced. */
  boolean majorityImpossible() {
    return database.members().size() - refused.size() < database.majority();
  }

  /** Whether no call is in progress, apart from one to the member that is known to be silent. */
  boolean allReplied(Optional<MemberId> silent) {
    return pendingCalls.stream().allMatch(member -> silent.filter(member::equals).isPresent());
  }

  Position received(MemberId member) {
    return fenced.get(member);
  }

  /**
   * Selects the fenced member with the highest received position, so that it has every entry
   * confirmed by a majority. Members in {@code excluded} are skipped if the remaining ones form a
   * majority by themselves.
   */
  MemberId choose(Set<MemberId> excluded, Map<MemberId, Long> applyLags) {
    List<MemberId> remaining =
        fenced.keySet().stream().filter(member -> !excluded.contains(member)).toList();
    boolean enough = remaining.size() >= database.majority();
    return mostAdvanced(enough ? remaining : fenced.keySet(), applyLags);
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
