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
import org.sardinebay.internal.process.Invariants;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/**
 * Watches the members of one database and says when a primary must be promoted.
 *
 * <pre>{@code
 * WatchStep step = watch.poll(rank, now);
 * step.polls().forEach(member -> ...);
 * watch.replied(member, reply, askedMillis, now);
 * }</pre>
 *
 * <p>Not safe for several threads.
 */
public final class DatabaseWatch {
  /** How often {@link #poll} should be called. */
  public static final long POLL_MILLIS = 100;

  private static final long REPLICA_POLL_MILLIS = 500;
  private static final long ASK_WATCHERS_AFTER_MILLIS = 300;
  private static final long PROMOTE_RANK_DELAY_MILLIS = 150;
  private static final long FOLLOW_RANK_DELAY_MILLIS = 300;
  private static final long FOLLOW_REPEAT_MILLIS = 500;
  private static final long ABANDONED_AFTER_MILLIS = 1_000;
  private static final long PUBLISH_AFTER_MILLIS = 2_000;
  private static final long PUBLISH_RANK_DELAY_MILLIS = 3_000;

  private final FailureDomain ownDomain;
  private final Invariants invariants;
  private final FailureDetector<MemberId> detector;
  private final ReplicationStall stall = new ReplicationStall();
  private final SilenceEvidence evidence = new SilenceEvidence();
  private final MemberViews views = new MemberViews();
  private final Map<MemberId, Long> lastAsked = new HashMap<>();
  private final Set<MemberId> asking = new HashSet<>();
  private final Map<MemberId, Long> followDue = new HashMap<>();
  private DatabaseRecord database;
  private Set<MemberId> leavingHosts = Set.of();
  private Optional<Leader> leader = Optional.empty();
  private Position confirmed = Position.ZERO;
  private Optional<PromotionCause> cause = Optional.empty();
  private long causeSinceMillis;
  private long publishedTerm;
  private long publicationDueMillis;
  private Optional<Long> aheadSinceMillis = Optional.empty();

  /**
   * Starts a watch.
   *
   * @param database the database
   * @param ownDomain the failure domain of this process
   * @param invariants told of violations
   * @param nowMillis the time
   */
  public DatabaseWatch(
      DatabaseRecord database, FailureDomain ownDomain, Invariants invariants, long nowMillis) {
    this.database = database;
    this.ownDomain = ownDomain;
    this.invariants = invariants;
    this.detector = new FailureDetector<>(nowMillis);
  }

  /**
   * Takes a newer record of the database and the list of hosts.
   *
   * @param record the record
   * @param leaving the members that the list of hosts calls leaving
   */
  public void configured(DatabaseRecord record, Set<MemberId> leaving) {
    database = record;
    leavingHosts = Set.copyOf(leaving);
    views.retain(record.members().stream().map(MemberRecord::id).toList());
  }

  /**
   * Does what is due.
   *
   * @param rank the place of this process among the watchers
   * @param nowMillis the time
   * @return what to send
   */
  public WatchStep poll(int rank, long nowMillis) {
    detector.polled(nowMillis);
    leader.ifPresent(
        known -> evidence.reported(ownDomain, known.term(), silentMillis(nowMillis), nowMillis));
    noteCause(cause(nowMillis), nowMillis);
    boolean due =
        cause.isPresent() && nowMillis - causeSinceMillis >= rank * PROMOTE_RANK_DELAY_MILLIS;
    return new WatchStep(
        duePolls(nowMillis),
        dueFollows(rank, nowMillis),
        leader.isPresent() && silentMillis(nowMillis) >= ASK_WATCHERS_AFTER_MILLIS,
        due ? cause.map(why -> plan(why, nowMillis)) : Optional.empty(),
        duePublication(rank, nowMillis),
        cause.isPresent());
  }

  /**
   * Takes the end of a progress call.
   *
   * @param member the member asked
   * @param reply its reply or failure
   * @param askedMillis when it was asked
   * @param nowMillis the time
   */
  public void replied(MemberId member, EndpointReply reply, long askedMillis, long nowMillis) {
    asking.remove(member);
    if (reply instanceof EndpointReply.Standing standing && standing.member().equals(member)) {
      detector.answered(member, nowMillis);
      views.put(standing, askedMillis, nowMillis);
      noteLeader(standing, nowMillis);
      noteConfirmed();
    }
  }

  /**
   * Takes another watcher's report.
   *
   * @param domain its failure domain
   * @param term the term whose primary it watches
   * @param silentMillis how long that primary has been silent
   * @param nowMillis the time
   */
  public void reported(FailureDomain domain, long term, long silentMillis, long nowMillis) {
    evidence.reported(domain, term, silentMillis, nowMillis);
  }

  /**
   * Takes a primary that was promoted or published.
   *
   * @param term its term
   * @param primary the member
   * @param start the position of the entry that opens the term
   * @param nowMillis the time
   */
  public void promoted(long term, MemberId primary, Position start, long nowMillis) {
    invariants.check(
        start.term() <= confirmed.term() || start.index() > confirmed.index(),
        InvariantName.CONFIRMED_ENTRIES_SURVIVE,
        database.id() + ": " + primary + " starts at " + start + " below " + confirmed);
    lead(term, primary, nowMillis);
  }

  /**
   * Takes what the platform has published.
   *
   * @param record the state of the database's promotions
   * @param nowMillis the time
   */
  public void published(PromotionRecord record, long nowMillis) {
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
   * How long the primary has been silent towards this process.
   *
   * @param nowMillis the time
   * @return the silence, 0 if no primary is known
   */
  public long silentMillis(long nowMillis) {
    return leader.map(known -> detector.silentMillis(known.member(), nowMillis)).orElse(0L);
  }

  /**
   * The newest primary known.
   *
   * @return the primary, empty if none is known
   */
  public Optional<Leader> leader() {
    return leader;
  }

  /**
   * Why a primary should be promoted now.
   *
   * @return the cause, empty if all is well
   */
  public Optional<PromotionCause> cause() {
    return cause;
  }

  /**
   * What the watchers say about the primary's silence.
   *
   * @return the latest report of each failure domain
   */
  public Map<FailureDomain, SilenceEvidence.Report> reports() {
    return evidence.reports();
  }

  /**
   * The last entry known to be on a majority of members.
   *
   * @return its position
   */
  public Position confirmed() {
    return confirmed;
  }

  /**
   * The latest standing of each member.
   *
   * @return the standings, those of silent members included
   */
  public List<EndpointReply.Standing> standings() {
    return views.all().values().stream().map(MemberViews.View::standing).toList();
  }

  private Optional<PromotionCause> cause(long nowMillis) {
    if (leader.isEmpty()) {
      boolean enough = views.fresh(nowMillis).size() >= database.majority();
      return enough ? Optional.of(PromotionCause.NO_PRIMARY) : Optional.empty();
    }
    Leader known = leader.get();
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

  private boolean cutOff(Leader known, long nowMillis) {
    long followers = views.fresh(nowMillis).stream().filter(view -> view.follows(known)).count();
    Optional<Position> primaryHas =
        views
            .fresh(known.member(), nowMillis)
            .filter(view -> view.leads(known.term()) && followers >= database.majority())
            .map(view -> view.standing().received());
    Optional<Position> majorityHas = views.receivedBy(database.majority(), known.term());
    return stall.observe(primaryHas, majorityHas, nowMillis);
  }

  private boolean silent(Leader known, long nowMillis) {
    return detector.suspects(known.member(), nowMillis)
        && evidence.conclusive(WatcherAssignment.domains(database), known.term(), nowMillis);
  }

  private boolean deposed(Leader known, long nowMillis) {
    return views
        .fresh(known.member(), nowMillis)
        .filter(view -> view.askedMillis() > known.knownSinceMillis())
        .filter(view -> !view.leads(known.term()))
        .isPresent();
  }

  private boolean abandoned(Leader known, long nowMillis) {
    if (views.termSeenBy(database.majority(), nowMillis) > known.term()) {
      return true;
    }
    if (views.termSeenBy(1, nowMillis) <= known.term()) {
      aheadSinceMillis = Optional.empty();
      return false;
    }
    aheadSinceMillis = Optional.of(aheadSinceMillis.orElse(nowMillis));
    return nowMillis - aheadSinceMillis.get() >= ABANDONED_AFTER_MILLIS;
  }

  private boolean leaving(Leader known, long nowMillis) {
    Set<MemberId> leaving = leavingMembers(nowMillis);
    long staying =
        views.fresh(nowMillis).stream()
            .filter(view -> !leaving.contains(view.standing().member()))
            .count();
    return leaving.contains(known.member()) && staying >= database.majority();
  }

  private Set<MemberId> leavingMembers(long nowMillis) {
    Set<MemberId> leaving = new TreeSet<>(leavingHosts);
    for (MemberViews.View view : views.fresh(nowMillis)) {
      if (view.standing().leaving()) {
        leaving.add(view.standing().member());
      }
    }
    return leaving;
  }

  private void noteCause(Optional<PromotionCause> now, long nowMillis) {
    if (cause.isEmpty() && now.isPresent()) {
      causeSinceMillis = nowMillis;
    }
    cause = now;
  }

  private PromotionPlan plan(PromotionCause why, long nowMillis) {
    Set<MemberId> passedOver = leavingMembers(nowMillis);
    if (why == PromotionCause.PRIMARY_CUT_OFF) {
      passedOver.add(leader.orElseThrow().member());
    }
    Optional<MemberId> silentMember =
        why == PromotionCause.PRIMARY_SILENT ? leader.map(Leader::member) : Optional.empty();
    return new PromotionPlan(
        database,
        why,
        leader.map(Leader::term).orElse(0L),
        views.highestTerm(),
        silentMember,
        passedOver,
        views.applyLags());
  }

  private Optional<Publication> duePublication(int rank, long nowMillis) {
    long dueMillis = publicationDueMillis + rank * PUBLISH_RANK_DELAY_MILLIS;
    if (leader.isEmpty() || leader.get().term() <= publishedTerm || nowMillis < dueMillis) {
      return Optional.empty();
    }
    Leader known = leader.get();
    return views
        .fresh(known.member(), nowMillis)
        .filter(view -> view.leads(known.term()))
        .flatMap(view -> view.start(known.term()))
        .map(start -> publication(known, start, nowMillis));
  }

  private Publication publication(Leader known, Position start, long nowMillis) {
    publicationDueMillis = nowMillis + PUBLISH_AFTER_MILLIS;
    return new Publication(database.id(), known.term(), known.member(), start);
  }

  private void noteLeader(EndpointReply.Standing standing, long nowMillis) {
    if (standing.role() == MemberRole.PRIMARY) {
      lead(standing.term(), standing.member(), nowMillis);
    } else if (standing.role() == MemberRole.REPLICA) {
      standing.primary().ifPresent(primary -> lead(standing.term(), primary, nowMillis));
    }
  }

  private void lead(long term, MemberId member, long nowMillis) {
    if (leader.isEmpty() || leader.get().term() < term) {
      leader = Optional.of(new Leader(term, member, nowMillis));
      publicationDueMillis = nowMillis + PUBLISH_AFTER_MILLIS;
      detector.answered(member, nowMillis);
    } else if (leader.get().term() == term && !leader.get().member().equals(member)) {
      invariants.violated(
          InvariantName.TERM_HAS_ONE_DRIVER,
          database.id() + ": " + leader.get().member() + " and " + member + " lead term " + term);
    }
  }

  private void noteConfirmed() {
    leader
        .flatMap(known -> views.receivedBy(database.majority(), known.term()))
        .ifPresent(position -> confirmed = confirmed.max(position));
  }

  private List<MemberId> duePolls(long nowMillis) {
    List<MemberId> due = new ArrayList<>();
    for (MemberRecord member : database.members()) {
      long lastMillis = lastAsked.getOrDefault(member.id(), nowMillis - REPLICA_POLL_MILLIS);
      boolean dueNow = nowMillis - lastMillis >= pollInterval(member.id());
      if (dueNow && asking.add(member.id())) {
        lastAsked.put(member.id(), nowMillis);
        due.add(member.id());
      }
    }
    return due;
  }

  private long pollInterval(MemberId member) {
    boolean settled =
        leader.isPresent() && cause.isEmpty() && aheadSinceMillis.isEmpty() && !stall.pending();
    boolean replica = leader.filter(known -> known.member().equals(member)).isEmpty();
    return settled && replica ? REPLICA_POLL_MILLIS : POLL_MILLIS;
  }

  private List<FollowNeeded> dueFollows(int rank, long nowMillis) {
    List<FollowNeeded> due = new ArrayList<>();
    for (MemberRecord member : database.members()) {
      if (!needsFollow(member.id(), nowMillis)) {
        followDue.remove(member.id());
        continue;
      }
      followDue.putIfAbsent(member.id(), nowMillis + rank * FOLLOW_RANK_DELAY_MILLIS);
      if (nowMillis >= followDue.get(member.id())) {
        followDue.put(member.id(), nowMillis + FOLLOW_REPEAT_MILLIS);
        due.add(new FollowNeeded(member.id(), follow(leader.orElseThrow())));
      }
    }
    return due;
  }

  private boolean needsFollow(MemberId member, long nowMillis) {
    if (leader.isEmpty() || leader.get().member().equals(member)) {
      return false;
    }
    Leader known = leader.get();
    boolean leads =
        views.fresh(known.member(), nowMillis).filter(view -> view.leads(known.term())).isPresent();
    return leads
        && views
            .fresh(member, nowMillis)
            .filter(view -> view.askedMillis() > known.knownSinceMillis())
            .filter(view -> view.standing().term() <= known.term())
            .filter(view -> !view.follows(known))
            .isPresent();
  }

  private EndpointCall.Follow follow(Leader known) {
    MemberRecord primary =
        database.members().stream()
            .filter(member -> member.id().equals(known.member()))
            .findFirst()
            .orElseThrow();
    return new EndpointCall.Follow(known.term(), primary.id(), primary.address());
  }
}
