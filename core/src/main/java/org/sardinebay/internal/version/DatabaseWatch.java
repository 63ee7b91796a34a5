package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.process.InvariantReporter;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/**
 * Monitors the members of one database and determines when a new primary must be promoted.
 *
 * <pre>{@code
 * WatchStep step = watch.poll(rank, now);
 * step.polls().forEach(member -> ...);
 * watch.onProgressReply(member, reply, sentMillis, now);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class DatabaseWatch {
  /** The interval at which {@link #poll} should be called, in milliseconds. */
  public static final long POLL_MILLIS = 100;

  private static final long REPLICA_POLL_MILLIS = 500;
  private static final long QUERY_WATCHERS_AFTER_MILLIS = 300;
  private static final long PROMOTE_RANK_DELAY_MILLIS = 150;
  private static final long FOLLOW_RANK_DELAY_MILLIS = 300;
  private static final long FOLLOW_RETRY_MILLIS = 500;
  private static final long ABANDONED_AFTER_MILLIS = 1_000;
  private static final long PUBLISH_AFTER_MILLIS = 2_000;
  private static final long PUBLISH_RANK_DELAY_MILLIS = 3_000;

  private final FailureDomain ownDomain;
  private final InvariantReporter invariantReporter;
  private final FailureDetector<MemberId> detector;
  private final ReplicationStall replicationStall = new ReplicationStall();
  private final SilenceReports silenceReports = new SilenceReports();
  private final MemberStandings memberStandings = new MemberStandings();
  private final Map<MemberId, Long> lastPolledMillis = new HashMap<>();
  private final Set<MemberId> pendingPolls = new HashSet<>();
  private final Map<MemberId, Long> nextFollowMillis = new HashMap<>();
  private DatabaseRecord database;
  private Set<MemberId> membersOnLeavingHosts = Set.of();
  private Optional<KnownPrimary> primary = Optional.empty();
  private Position confirmed = Position.ZERO;
  private Optional<PromotionCause> cause = Optional.empty();
  private long causeSinceMillis;
  private long publishedTerm;
  private long publicationDueMillis;
  private Optional<Long> newerTermSinceMillis = Optional.empty();

  /**
   * Creates a watch.
   *
   * @param database the database
   * @param ownDomain the failure domain of this process
   * @param invariantReporter receives invariant violations
   * @param nowMillis the current time
   */
  public DatabaseWatch(
      DatabaseRecord database,
      FailureDomain ownDomain,
      InvariantReporter invariantReporter,
      long nowMillis) {
    this.database = database;
    this.ownDomain = ownDomain;
    this.invariantReporter = invariantReporter;
    this.detector = new FailureDetector<>(nowMillis);
  }

  /**
   * Applies a newer record of the database and the members that are leaving.
   *
   * @param record the record
   * @param leaving the members that the list of hosts marks as leaving
   */
  public void updateConfiguration(DatabaseRecord record, Set<MemberId> leaving) {
    database = record;
    membersOnLeavingHosts = Set.copyOf(leaving);
    memberStandings.retain(record.members().stream().map(MemberRecord::id).toList());
  }

  /**
   * Evaluates the state of the database and returns the actions that are due.
   *
   * @param rank the rank of this process among the watchers, 0 for the first
   * @param nowMillis the current time
   * @return the actions to perform
   */
  public WatchStep poll(int rank, long nowMillis) {
    detector.onPoll(nowMillis);
    primary.ifPresent(
        known ->
            silenceReports.reported(ownDomain, known.term(), silentMillis(nowMillis), nowMillis));
    updateCause(cause(nowMillis), nowMillis);
    boolean due =
        cause.isPresent() && nowMillis - causeSinceMillis >= rank * PROMOTE_RANK_DELAY_MILLIS;
    return new WatchStep(
        duePolls(nowMillis),
        dueFollows(rank, nowMillis),
        primary.isPresent() && silentMillis(nowMillis) >= QUERY_WATCHERS_AFTER_MILLIS,
        due ? cause.map(needed -> plan(needed, nowMillis)) : Optional.empty(),
        duePublication(rank, nowMillis),
        cause.isPresent());
  }

  /**
   * Applies the result of a progress call.
   *
   * @param member the member that was called
   * @param reply its reply or failure
   * @param sentMillis when the call was sent
   * @param nowMillis the current time
   */
  public void onProgressReply(
      MemberId member, EndpointReply reply, long sentMillis, long nowMillis) {
    pendingPolls.remove(member);
    if (reply instanceof EndpointReply.Standing standing && standing.member().equals(member)) {
      detector.onReply(member, nowMillis);
      memberStandings.put(standing, sentMillis, nowMillis);
      observePrimary(standing, nowMillis);
      updateConfirmed();
    }
  }

  /**
   * Applies another watcher's report.
   *
   * @param domain its failure domain
   * @param term the term whose primary it watches
   * @param silentMillis how long that primary has not replied
   * @param nowMillis the current time
   */
  public void onSuspicionReport(
      FailureDomain domain, long term, long silentMillis, long nowMillis) {
    silenceReports.reported(domain, term, silentMillis, nowMillis);
  }

  /**
   * Applies a primary that was promoted or published.
   *
   * @param term its term
   * @param primary the member
   * @param start the position of the first entry of the term
   * @param nowMillis the current time
   */
  public void promoted(long term, MemberId primary, Position start, long nowMillis) {
    invariantReporter.check(
        start.term() <= confirmed.term() || start.index() > confirmed.index(),
        InvariantName.CONFIRMED_ENTRIES_SURVIVE,
        database.id()
            + ": "
            + primary
            + " starts at "
            + start
            + ", not above confirmed position "
            + confirmed);
    updatePrimary(term, primary, nowMillis);
  }

  /**
   * Applies the promotion record published on the platform.
   *
   * @param record the state of the database's promotions
   * @param nowMillis the current time
   */
  public void onPromotionRecord(PromotionRecord record, long nowMillis) {
    if (record.step() == PromotionStep.PUBLISHED) {
      publishedTerm = Math.max(publishedTerm, record.term());
      promoted(
          record.term(),
          record.primary().orElseThrow(),
          record.start().orElse(Position.ZERO),
          nowMillis);
    }
  }

  /**
   * Returns how long the primary has not replied to this process.
   *
   * @param nowMillis the current time
   * @return the time without a reply in milliseconds, 0 if no primary is known
   */
  public long silentMillis(long nowMillis) {
    return primary.map(known -> detector.silentMillis(known.member(), nowMillis)).orElse(0L);
  }

  /**
   * Returns the primary of the newest known term.
   *
   * @return the primary, empty if none is known
   */
  public Optional<KnownPrimary> primary() {
    return primary;
  }

  /**
   * Returns why a primary should be promoted now.
   *
   * @return the cause, or empty if no promotion is needed
   */
  public Optional<PromotionCause> cause() {
    return cause;
  }

  /**
   * Returns the watchers' reports about the silence of the primary.
   *
   * @return the latest report of each failure domain
   */
  public Map<FailureDomain, SilenceReports.Report> reports() {
    return silenceReports.reports();
  }

  /**
   * Returns the position of the last entry known to be confirmed by a majority of members.
   *
   * @return its position
   */
  public Position confirmed() {
    return confirmed;
  }

  /**
   * Returns the latest standing of each member.
   *
   * @return the standings, including those of silent members
   */
  public List<EndpointReply.Standing> standings() {
    return memberStandings.all().values().stream()
        .map(MemberStandings.TimedStanding::standing)
        .toList();
  }

  private Optional<PromotionCause> cause(long nowMillis) {
    if (primary.isEmpty()) {
      boolean enough = memberStandings.fresh(nowMillis).size() >= database.majority();
      return enough ? Optional.of(PromotionCause.NO_PRIMARY) : Optional.empty();
    }
    KnownPrimary known = primary.get();
    if (silent(known, nowMillis)) {
      return Optional.of(PromotionCause.PRIMARY_SILENT);
    }
    if (deposed(known, nowMillis)) {
      return Optional.of(PromotionCause.PRIMARY_DEPOSED);
    }
    if (abandoned(known, nowMillis)) {
      return Optional.of(PromotionCause.TERM_ABANDONED);
    }
    if (cutOff(known, nowMillis)) {
      return Optional.of(PromotionCause.PRIMARY_CUT_OFF);
    }
    return leaving(known, nowMillis)
        ? Optional.of(PromotionCause.PRIMARY_LEAVING)
        : Optional.empty();
  }

  private boolean cutOff(KnownPrimary known, long nowMillis) {
    long followers =
        memberStandings.fresh(nowMillis).stream().filter(latest -> latest.follows(known)).count();
    Optional<Position> primaryPosition =
        memberStandings
            .fresh(known.member(), nowMillis)
            .filter(latest -> latest.leads(known.term()) && followers >= database.majority())
            .map(latest -> latest.standing().received());
    Optional<Position> majorityPosition =
        memberStandings.receivedBy(database.majority(), known.term());
    return replicationStall.observe(primaryPosition, majorityPosition, nowMillis);
  }

  private boolean silent(KnownPrimary known, long nowMillis) {
    return detector.suspects(known.member(), nowMillis)
        && silenceReports.conclusive(WatcherAssignment.domains(database), known.term(), nowMillis);
  }

  private boolean deposed(KnownPrimary known, long nowMillis) {
    return memberStandings
        .fresh(known.member(), nowMillis)
        .filter(latest -> latest.sentMillis() > known.knownSinceMillis())
        .filter(latest -> !latest.leads(known.term()))
        .isPresent();
  }

  private boolean abandoned(KnownPrimary known, long nowMillis) {
    if (memberStandings.termSeenBy(database.majority(), nowMillis) > known.term()) {
      return true;
    }
    if (memberStandings.termSeenBy(1, nowMillis) <= known.term()) {
      newerTermSinceMillis = Optional.empty();
      return false;
    }
    newerTermSinceMillis = Optional.of(newerTermSinceMillis.orElse(nowMillis));
    return nowMillis - newerTermSinceMillis.get() >= ABANDONED_AFTER_MILLIS;
  }

  private boolean leaving(KnownPrimary known, long nowMillis) {
    Set<MemberId> leaving = leavingMembers(nowMillis);
    long remaining =
        memberStandings.fresh(nowMillis).stream()
            .filter(latest -> !leaving.contains(latest.standing().member()))
            .count();
    return leaving.contains(known.member()) && remaining >= database.majority();
  }

  private Set<MemberId> leavingMembers(long nowMillis) {
    Set<MemberId> leaving = new TreeSet<>(membersOnLeavingHosts);
    for (MemberStandings.TimedStanding latest : memberStandings.fresh(nowMillis)) {
      if (latest.standing().leaving()) {
        leaving.add(latest.standing().member());
      }
    }
    return leaving;
  }

  private void updateCause(Optional<PromotionCause> now, long nowMillis) {
    if (cause.isEmpty() && now.isPresent()) {
      causeSinceMillis = nowMillis;
    }
    cause = now;
  }

  private PromotionPlan plan(PromotionCause promotionCause, long nowMillis) {
    Set<MemberId> excluded = leavingMembers(nowMillis);
    if (promotionCause == PromotionCause.PRIMARY_CUT_OFF) {
      excluded.add(primary.orElseThrow().member());
    }
    Optional<MemberId> silentMember =
        promotionCause == PromotionCause.PRIMARY_SILENT
            ? primary.map(KnownPrimary::member)
            : Optional.empty();
    return new PromotionPlan(
        database,
        promotionCause,
        primary.map(KnownPrimary::term).orElse(0L),
        memberStandings.highestTerm(),
        silentMember,
        excluded,
        memberStandings.applyLags());
  }

  private Optional<Publication> duePublication(int rank, long nowMillis) {
    long dueMillis = publicationDueMillis + rank * PUBLISH_RANK_DELAY_MILLIS;
    if (primary.isEmpty() || primary.get().term() <= publishedTerm || nowMillis < dueMillis) {
      return Optional.empty();
    }
    KnownPrimary known = primary.get();
    return memberStandings
        .fresh(known.member(), nowMillis)
        .filter(latest -> latest.leads(known.term()))
        .flatMap(latest -> latest.start(known.term()))
        .map(start -> publication(known, start, nowMillis));
  }

  private Publication publication(KnownPrimary known, Position start, long nowMillis) {
    publicationDueMillis = nowMillis + PUBLISH_AFTER_MILLIS;
    return new Publication(database.id(), known.term(), known.member(), start);
  }

  private void observePrimary(EndpointReply.Standing standing, long nowMillis) {
    if (standing.role() == MemberRole.PRIMARY) {
      updatePrimary(standing.term(), standing.member(), nowMillis);
    } else if (standing.role() == MemberRole.REPLICA) {
      standing.primary().ifPresent(primary -> updatePrimary(standing.term(), primary, nowMillis));
    }
  }

  private void updatePrimary(long term, MemberId member, long nowMillis) {
    if (primary.isEmpty() || primary.get().term() < term) {
      primary = Optional.of(new KnownPrimary(term, member, nowMillis));
      publicationDueMillis = nowMillis + PUBLISH_AFTER_MILLIS;
      detector.onReply(member, nowMillis);
    } else if (primary.get().term() == term && !primary.get().member().equals(member)) {
      invariantReporter.violated(
          InvariantName.TERM_HAS_ONE_DRIVER,
          database.id()
              + ": "
              + primary.get().member()
              + " and "
              + member
              + " are both primary of term "
              + term);
    }
  }

  private void updateConfirmed() {
    primary
        .flatMap(known -> memberStandings.receivedBy(database.majority(), known.term()))
        .ifPresent(position -> confirmed = confirmed.max(position));
  }

  private List<MemberId> duePolls(long nowMillis) {
    List<MemberId> due = new ArrayList<>();
    for (MemberRecord member : database.members()) {
      long lastMillis = lastPolledMillis.getOrDefault(member.id(), nowMillis - REPLICA_POLL_MILLIS);
      boolean dueNow = nowMillis - lastMillis >= pollInterval(member.id());
      if (dueNow && pendingPolls.add(member.id())) {
        lastPolledMillis.put(member.id(), nowMillis);
        due.add(member.id());
      }
    }
    return due;
  }

  private long pollInterval(MemberId member) {
    boolean settled =
        primary.isPresent()
            && cause.isEmpty()
            && newerTermSinceMillis.isEmpty()
            && !replicationStall.pending();
    boolean replica = primary.filter(known -> known.member().equals(member)).isEmpty();
    return settled && replica ? REPLICA_POLL_MILLIS : POLL_MILLIS;
  }

  private List<PendingFollow> dueFollows(int rank, long nowMillis) {
    List<PendingFollow> due = new ArrayList<>();
    for (MemberRecord member : database.members()) {
      if (!needsFollow(member.id(), nowMillis)) {
        nextFollowMillis.remove(member.id());
        continue;
      }
      nextFollowMillis.putIfAbsent(member.id(), nowMillis + rank * FOLLOW_RANK_DELAY_MILLIS);
      if (nowMillis >= nextFollowMillis.get(member.id())) {
        nextFollowMillis.put(member.id(), nowMillis + FOLLOW_RETRY_MILLIS);
        due.add(new PendingFollow(member.id(), follow(primary.orElseThrow())));
      }
    }
    return due;
  }

  private boolean needsFollow(MemberId member, long nowMillis) {
    if (primary.isEmpty() || primary.get().member().equals(member)) {
      return false;
    }
    KnownPrimary known = primary.get();
    boolean leads =
        memberStandings
            .fresh(known.member(), nowMillis)
            .filter(latest -> latest.leads(known.term()))
            .isPresent();
    return leads
        && memberStandings
            .fresh(member, nowMillis)
            .filter(latest -> latest.sentMillis() > known.knownSinceMillis())
            .filter(latest -> latest.standing().term() <= known.term())
            .filter(latest -> !latest.follows(known))
            .isPresent();
  }

  private EndpointCall.Follow follow(KnownPrimary known) {
    MemberRecord primary =
        database.members().stream()
            .filter(member -> member.id().equals(known.member()))
            .findFirst()
            .orElseThrow();
    return new EndpointCall.Follow(known.term(), primary.id(), primary.address());
  }
}
