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
import org.sardinebay.internal.process.InvariantReporter;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/**
 * A proxy's view of one database: its term and primary, the entries confirmed by a majority, and
 * the progress of each member. It is built from replies of the members only, so it stays valid
 * during a platform outage.
 *
 * <pre>{@code
 * view.observe(standing, sentAt, now);
 * if (view.durable(position)) { ... }
 * }</pre>
 *
 * <p>Not thread-safe: guarded by the lock of its database context.
 */
public final class DatabaseView {
  /** A member that has not replied for this time, in milliseconds, is considered unreachable. */
  public static final long REACHABLE_MILLIS = 400;

  private final DatabaseRecord database;
  private final InvariantReporter invariantReporter;
  private final Map<MemberId, MemberEstimate> members = new TreeMap<>();
  private final PositionTimeline timeline = new PositionTimeline();
  private final StalenessBound stalenessBound = new StalenessBound();
  private long term;
  private Optional<MemberId> primary = Optional.empty();
  private TermHistory history = TermHistory.EMPTY;
  private long confirmedIndex;
  private long confirmedInEarlierTerms;

  /**
   * Creates an empty view.
   *
   * @param database the database's record
   * @param invariantReporter receives invariant violations
   */
  public DatabaseView(DatabaseRecord database, InvariantReporter invariantReporter) {
    this.database = database;
    this.invariantReporter = invariantReporter;
    for (MemberRecord member : database.members()) {
      members.put(member.id(), new MemberEstimate());
    }
  }

  /**
   * Applies a member's reply.
   *
   * @param standing the reply
   * @param sentAt when the request was sent, in milliseconds
   * @param now when the reply arrived, in milliseconds
   */
  public void observe(EndpointReply.Standing standing, long sentAt, long now) {
    MemberEstimate member = members.get(standing.member());
    if (member == null) {
      return;
    }
    raiseTerm(standing.term());
    member.observe(standing, sentAt, now);
    if (standing.term() == term) {
      observeCurrentTerm(standing, sentAt, now);
    }
    member.updateLag(timeline, now);
    updateConfirmed();
  }

  private void raiseTerm(long seen) {
    if (seen <= term) {
      return;
    }
    term = seen;
    confirmedInEarlierTerms = confirmedIndex;
    primary = Optional.empty();
    timeline.clear();
    stalenessBound.clear();
  }

  private void observeCurrentTerm(EndpointReply.Standing standing, long sentAt, long now) {
    boolean leads = standing.role() == MemberRole.PRIMARY;
    if (leads) {
      primary = Optional.of(standing.member());
      history = new TermHistory(standing.history());
      if (history.startOf(term) <= confirmedInEarlierTerms) {
        invariantReporter.violated(
            InvariantName.CONFIRMED_ENTRIES_SURVIVE,
            database.id()
                + " term "
                + term
                + " starts at or below confirmed index "
                + confirmedInEarlierTerms);
      }
      timeline.add(now, standing.applied().index());
      stalenessBound.add(sentAt, standing.applied().index());
    } else if (primary.equals(Optional.of(standing.member()))) {
      primary = Optional.empty();
    }
  }

  /**
   * Records that the primary has an entry, as reported by the reply to a write.
   *
   * @param member the primary
   * @param position the entry
   * @param now when the reply arrived, in milliseconds
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
   * Records the position reported by the reply to a read.
   *
   * @param member the member that served it
   * @param position the last entry applied
   * @param now when the reply arrived, in milliseconds
   */
  public void observeApplied(MemberId member, Position position, long now) {
    MemberEstimate estimate = members.get(member);
    if (estimate != null && estimate.term() == term && history.contains(position)) {
      estimate.observeApplied(position.index(), now);
      estimate.updateLag(timeline, now);
    }
  }

  /**
   * Records that a member is leaving, as reported by the host list or a refusal.
   *
   * @param member the member
   */
  public void observeLeaving(MemberId member) {
    MemberEstimate estimate = members.get(member);
    if (estimate != null) {
      estimate.markLeaving();
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
   * Returns the newest term that any member has reported.
   *
   * @return the term, 0 before the first report
   */
  public long term() {
    return term;
  }

  /**
   * Returns the primary of {@link #term()}.
   *
   * @return the primary, or empty if none is known
   */
  public Optional<MemberId> primary() {
    return primary;
  }

  /**
   * Returns the last index confirmed by a majority in this term or an earlier one. Every later log
   * contains all entries up to it.
   *
   * @return the index, 0 if none is confirmed yet
   */
  public long confirmedIndex() {
    return confirmedIndex;
  }

  /**
   * Returns how many members of this term have received the entry at an index.
   *
   * @param index the index
   * @return the number of members whose log contains the entry, including the primary
   */
  public long holders(long index) {
    return members.values().stream()
        .filter(member -> member.term() == term && member.synced())
        .filter(member -> member.receivedIndex() >= index)
        .count();
  }

  /**
   * Returns whether an entry survives every later change of primary.
   *
   * @param position the entry
   * @return true if it is on this term's log and confirmed by a majority
   */
  public boolean durable(Position position) {
    return position.index() == 0
        || (history.contains(position) && position.index() <= confirmedIndex);
  }

  /**
   * Returns whether an entry was dropped by a promotion known to this view.
   *
   * @param position the entry
   * @return true if the current primary's log does not have it
   */
  public boolean dropped(Position position) {
    return primary.isPresent() && position.term() <= term && !history.contains(position);
  }

  /**
   * Returns the latest time at which, according to their replies, a majority knew no newer term.
   *
   * @return a time in milliseconds, {@code Long.MIN_VALUE} if there is none
   */
  public long termVerifiedAt() {
    return members.values().stream()
        .map(member -> member.term() == term ? member.lastReplyRequestedAt() : Long.MIN_VALUE)
        .sorted(Comparator.reverseOrder())
        .skip(database.majority() - 1L)
        .findFirst()
        .orElse(Long.MIN_VALUE);
  }

  /**
   * Returns whether a majority of the members replied recently and knew no newer term. The primary
   * may be missing from this majority, see {@link #reachable}.
   *
   * @param now the current time in milliseconds
   * @return false if writes can't currently be confirmed
   */
  public boolean majorityAnswers(long now) {
    return recent(termVerifiedAt(), now);
  }

  /**
   * Returns whether a member replied recently.
   *
   * @param member the member
   * @param now the current time in milliseconds
   * @return false if the member is considered unreachable
   */
  public boolean reachable(MemberId member, long now) {
    MemberEstimate estimate = members.get(member);
    return estimate != null && recent(estimate.lastReplyAt(), now);
  }

  private static boolean recent(long at, long now) {
    return at != Long.MIN_VALUE && now - at <= REACHABLE_MILLIS;
  }

  /**
   * Returns whether a member may be sent new statements.
   *
   * @param member the member
   * @param now the current time in milliseconds
   * @return false if the member is leaving or unreachable
   */
  public boolean usable(MemberId member, long now) {
    MemberEstimate estimate = members.get(member);
    return estimate != null && !estimate.leaving() && reachable(member, now);
  }

  /**
   * Returns when a member is expected to have applied an index.
   *
   * @param member the member
   * @param index the index
   * @param now the current time in milliseconds
   * @return a time in milliseconds; {@code now} if the index is already applied
   */
  public long expectedAt(MemberId member, long index, long now) {
    return members.get(member).expectedAt(index, timeline, now);
  }

  /**
   * Returns the lowest position that a member must have applied for its data to be recent enough.
   *
   * @param at when the data will be returned to the caller, in milliseconds
   * @param maxAgeMillis the maximum age, in milliseconds
   * @return the position, or empty if that age can't be proved for any position
   */
  public Optional<Position> minimumPositionForAge(long at, long maxAgeMillis) {
    OptionalLong index = stalenessBound.minimumIndex(at, maxAgeMillis, termVerifiedAt());
    return index.isEmpty()
        ? Optional.empty()
        : Optional.of(new Position(history.termAt(index.getAsLong()), index.getAsLong()));
  }

  /**
   * Returns an upper bound for the age of data.
   *
   * @param position the last entry included in the data
   * @param now the current time in milliseconds
   * @return the age in milliseconds, or empty if no bound can be proved
   */
  public OptionalLong age(Position position, long now) {
    return history.contains(position)
        ? stalenessBound.age(position.index(), now, termVerifiedAt())
        : OptionalLong.empty();
  }

  /**
   * Returns the database's record.
   *
   * @return the record that this view was created for
   */
  public DatabaseRecord database() {
    return database;
  }

  /**
   * Returns the state of each member for the process's dump.
   *
   * @param now the current time in milliseconds
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
   * The known state of one member.
   *
   * @param member the member
   * @param term the term it last reported
   * @param role the role it last reported
   * @param receivedIndex the last index it received
   * @param appliedIndex the last index it applied
   * @param lagMillis its estimated replication lag, in milliseconds
   * @param reachable whether it replied recently
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
