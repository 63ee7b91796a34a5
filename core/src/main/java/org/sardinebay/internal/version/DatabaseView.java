package org.sardinebay.internal.version;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.process.Invariants;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/**
 * What one proxy knows of one database: its term and primary, what a majority confirmed, and how
 * far each member is. Learned from the members alone, so that it holds through any platform outage.
 *
 * <pre>{@code
 * view.observe(standing, askedAt, now);
 * if (view.durable(position)) { ... }
 * }</pre>
 *
 * <p>Not thread-safe: its shard's lock guards it.
 */
public final class DatabaseView {
  /** A member that has not answered for so long is taken as unreachable, in milliseconds. */
  public static final long REACHABLE_MILLIS = 400;

  private final DatabaseRecord database;
  private final Invariants invariants;
  private final Map<MemberId, MemberEstimate> members = new TreeMap<>();
  private final PositionTimeline timeline = new PositionTimeline();
  private final AgeProof ageProof = new AgeProof();
  private long term;
  private Optional<MemberId> primary = Optional.empty();
  private TermHistory history = TermHistory.EMPTY;
  private long confirmedIndex;
  private long confirmedBefore;

  /**
   * A view that knows nothing yet.
   *
   * @param database the database's record
   * @param invariants hears of violations
   */
  public DatabaseView(DatabaseRecord database, Invariants invariants) {
    this.database = database;
    this.invariants = invariants;
    for (MemberRecord member : database.members()) {
      members.put(member.id(), new MemberEstimate());
    }
  }

  /**
   * Takes in a member's answer.
   *
   * @param standing the answer
   * @param askedAt when the question was sent
   * @param now when the answer arrived
   */
  public void observe(EndpointReply.Standing standing, long askedAt, long now) {
    MemberEstimate member = members.get(standing.member());
    if (member == null) {
      return;
    }
    raiseTerm(standing.term());
    member.observe(standing, askedAt, now);
    if (standing.term() == term) {
      observeLeader(standing, askedAt, now);
    }
    member.updateLag(timeline, now);
    updateConfirmed();
  }

  private void raiseTerm(long seen) {
    if (seen <= term) {
      return;
    }
    term = seen;
    confirmedBefore = confirmedIndex;
    primary = Optional.empty();
    timeline.clear();
    ageProof.clear();
  }

  private void observeLeader(EndpointReply.Standing standing, long askedAt, long now) {
    boolean leads = standing.role() == MemberRole.PRIMARY;
    if (leads) {
      primary = Optional.of(standing.member());
      history = new TermHistory(standing.history());
      if (history.startOf(term) <= confirmedBefore) {
        invariants.violated(
            InvariantName.CONFIRMED_ENTRIES_SURVIVE,
            database.id() + " term " + term + " starts at or below " + confirmedBefore);
      }
      timeline.add(now, standing.applied().index());
      ageProof.add(askedAt, standing.applied().index());
    } else if (primary.equals(Optional.of(standing.member()))) {
      primary = Optional.empty();
    }
  }

  /**
   * Takes in that the primary holds an entry, as the reply to a write says.
   *
   * @param member the primary
   * @param position the entry
   * @param now when the reply arrived
   */
  public void observeWritten(MemberId member, Position position, long now) {
    if (position.term() == term && primary.equals(Optional.of(member))) {
      members.get(member).observeReceived(position.index());
      members.get(member).observeApplied(position.index(), now);
      timeline.add(now, position.index());
      updateConfirmed();
    }
  }

  /**
   * Takes in what a read showed.
   *
   * @param member the member that served it
   * @param position the last entry applied
   * @param now when the reply arrived
   */
  public void observeApplied(MemberId member, Position position, long now) {
    MemberEstimate estimate = members.get(member);
    if (estimate != null && estimate.term() == term && history.contains(position)) {
      estimate.observeApplied(position.index(), now);
      estimate.updateLag(timeline, now);
    }
  }

  /**
   * Takes in that a member is leaving, as the host list or a refusal says.
   *
   * @param member the member
   */
  public void observeLeaving(MemberId member) {
    MemberEstimate estimate = members.get(member);
    if (estimate != null) {
      estimate.leave();
    }
  }

  private void updateConfirmed() {
    List<Long> received =
        members.values().stream()
            .filter(member -> member.term() == term && member.synced())
            .map(MemberEstimate::receivedIndex)
            .sorted(Comparator.reverseOrder())
            .toList();
    if (primary.isEmpty() || received.size() < database.majority()) {
      return;
    }
    long byMajority = received.get(database.majority() - 1);
    if (byMajority >= history.startOf(term)) {
      confirmedIndex = Math.max(confirmedIndex, byMajority);
    }
  }

  /**
   * The newest term that any member has seen.
   *
   * @return the term, 0 before any
   */
  public long term() {
    return term;
  }

  /**
   * The primary of {@link #term()}.
   *
   * @return the primary, empty while none is known
   */
  public Optional<MemberId> primary() {
    return primary;
  }

  /**
   * The last index that a majority confirmed in this term or an earlier one. All entries up to it
   * are on every later log too.
   *
   * @return the index, 0 if none is confirmed yet
   */
  public long confirmedIndex() {
    return confirmedIndex;
  }

  /**
   * How many members hold an index of this term.
   *
   * @param index the index
   * @return the number of members whose log has it, the primary included
   */
  public long holders(long index) {
    return members.values().stream()
        .filter(member -> member.term() == term && member.synced())
        .filter(member -> member.receivedIndex() >= index)
        .count();
  }

  /**
   * Whether an entry survives every later change of primary.
   *
   * @param position the entry
   * @return true if it is on this term's log and confirmed by a majority
   */
  public boolean durable(Position position) {
    return position.index() == 0
        || (history.contains(position) && position.index() <= confirmedIndex);
  }

  /**
   * Whether an entry was dropped by a promotion that this view knows.
   *
   * @param position the entry
   * @return true if the current primary's log does not have it
   */
  public boolean dropped(Position position) {
    return primary.isPresent() && position.term() <= term && !history.contains(position);
  }

  /**
   * The last time at which no majority had seen a newer term.
   *
   * @return a reading of the clock, {@code Long.MIN_VALUE} if never
   */
  public long ratifiedAt() {
    return members.values().stream()
        .map(member -> member.term() == term ? member.answeredAskedAt() : Long.MIN_VALUE)
        .sorted(Comparator.reverseOrder())
        .skip(database.majority() - 1L)
        .findFirst()
        .orElse(Long.MIN_VALUE);
  }

  /**
   * Whether a majority of the members, the primary included, answered lately.
   *
   * @param now the time
   * @return false if writes could not be confirmed
   */
  public boolean majorityAnswers(long now) {
    return recent(ratifiedAt(), now);
  }

  /**
   * Whether a member answered lately.
   *
   * @param member the member
   * @param now the time
   * @return false if it seems unreachable
   */
  public boolean reachable(MemberId member, long now) {
    MemberEstimate estimate = members.get(member);
    return estimate != null && recent(estimate.lastAnswerAt(), now);
  }

  private static boolean recent(long at, long now) {
    return at != Long.MIN_VALUE && now - at <= REACHABLE_MILLIS;
  }

  /**
   * Whether a member may get new work.
   *
   * @param member the member
   * @param now the time
   * @return false if it is leaving, unreachable or behind the current term
   */
  public boolean usable(MemberId member, long now) {
    MemberEstimate estimate = members.get(member);
    return estimate != null && !estimate.leaving() && reachable(member, now);
  }

  /**
   * When a member is expected to show an index.
   *
   * @param member the member
   * @param index the index
   * @param now the time
   * @return a time, {@code now} if it shows it already
   */
  public long expectedAt(MemberId member, long index, long now) {
    return members.get(member).expectedAt(index, timeline, now);
  }

  /**
   * The least position that a member must show for its data to be young enough.
   *
   * @param at when the data will be handed out
   * @param maxAgeMillis the greatest age
   * @return the position, empty if no age that young can be proved
   */
  public Optional<Position> leastForAge(long at, long maxAgeMillis) {
    OptionalLong index = ageProof.leastIndex(at, maxAgeMillis, ratifiedAt());
    return index.isEmpty()
        ? Optional.empty()
        : Optional.of(new Position(history.termAt(index.getAsLong()), index.getAsLong()));
  }

  /**
   * An upper bound for the age of data.
   *
   * @param position the last entry that the data shows
   * @param now the time
   * @return milliseconds, empty if nothing is proved
   */
  public OptionalLong age(Position position, long now) {
    return history.contains(position)
        ? ageProof.age(position.index(), now, ratifiedAt())
        : OptionalLong.empty();
  }

  /**
   * The database's record.
   *
   * @return the record that the view was made for
   */
  public DatabaseRecord database() {
    return database;
  }

  /**
   * What is known of each member, for the process's dump.
   *
   * @param now the time
   * @return one entry for each member
   */
  public List<MemberSummary> summary(long now) {
    return members.entrySet().stream()
        .map(
            entry ->
                new MemberSummary(
                    entry.getKey(),
                    entry.getValue().term(),
                    entry.getValue().role(),
                    entry.getValue().receivedIndex(),
                    entry.getValue().appliedIndex(),
                    entry.getValue().lagMillis(),
                    reachable(entry.getKey(), now),
                    entry.getValue().leaving()))
        .toList();
  }

  /**
   * What is known of one member.
   *
   * @param member its name
   * @param term the term it last stated
   * @param role the role it last stated
   * @param receivedIndex the last index it received
   * @param appliedIndex the last index it applied
   * @param lagMillis how far behind it is expected to be
   * @param reachable whether it answered lately
   * @param leaving whether it is leaving
   */
  public record MemberSummary(
      MemberId member,
      long term,
      MemberRole role,
      long receivedIndex,
      long appliedIndex,
      long lagMillis,
      boolean reachable,
      boolean leaving) {}
}
