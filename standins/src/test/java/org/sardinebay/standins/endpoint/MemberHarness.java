package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.StatementKind;

/** Test harness that drives one member with a simulated clock. */
final class MemberHarness {
  static final long DEADLINE_MILLIS = 1_000;
  static final MemberFaults NO_FAULTS = new MemberFaults(0, 0, false, false);

  private final MemberSettings settings;
  private final List<JournalRecord> records = new ArrayList<>();
  private final Map<Long, EndpointReply> replies = new HashMap<>();
  private final Map<Long, PullReply> pullReplies = new HashMap<>();
  private final List<MemberOutput.Pull> pulls = new ArrayList<>();
  private Member member;
  private long now;
  private long tickets;

  MemberHarness(String name) {
    this(new MemberSettings(new MemberId(name), 3, 1, 12, 3_000, 1, 2));
  }

  MemberHarness(MemberSettings settings) {
    this.settings = settings;
    member = new Member(settings, NO_FAULTS, List.of());
  }

  Member member() {
    return member;
  }

  /** Sends a call and returns its ticket. */
  long send(EndpointCall call) {
    long ticket = tickets++;
    member.call(now, ticket, call);
    collect();
    return ticket;
  }

  Optional<EndpointReply> reply(long ticket) {
    return Optional.ofNullable(replies.get(ticket));
  }

  /** Sends a call and advances the clock until there is a reply. */
  EndpointReply call(EndpointCall call) {
    long ticket = send(call);
    for (int i = 0; i < 10_000 && !replies.containsKey(ticket); i++) {
      advance(1);
    }
    return replies.get(ticket);
  }

  PullReply pull(long term, Position after) {
    long ticket = tickets++;
    member.pull(now, ticket, new PullRequest(term, settings.member(), after, 0));
    collect();
    return pullReplies.get(ticket);
  }

  MemberOutput.Pull lastPull() {
    return pulls.get(pulls.size() - 1);
  }

  void pulled(MemberOutput.Pull pull, PullReply reply) {
    member.pulled(now, pull.id(), Optional.of(reply));
    collect();
  }

  /** Replicates from the primary until it has no more entries. */
  void copyFrom(MemberHarness primary) {
    PullReply reply;
    do {
      MemberOutput.Pull pull = lastPull();
      reply = primary.pull(pull.request().term(), pull.request().after());
      pulled(pull, reply);
    } while (!(reply instanceof PullReply.Entries entries && entries.entries().isEmpty()));
  }

  void faults(MemberFaults faults) {
    member.faults(now, faults);
    collect();
  }

  void advance(long millis) {
    for (long i = 0; i < millis; i++) {
      now++;
      member.tick(now);
      collect();
    }
  }

  void restart() {
    member = new Member(settings, NO_FAULTS, records);
  }

  void becomePrimary(long term) {
    send(new EndpointCall.Fence(term, "driver"));
    send(new EndpointCall.Promote(term, "driver"));
  }

  String open() {
    return ((EndpointReply.Opened) call(new EndpointCall.Open("proxy"))).connection();
  }

  EndpointReply write(String connection, String statement, String key) {
    return call(execute(connection, StatementKind.WRITE, statement, key));
  }

  EndpointReply read(String connection, String statement, Position minimumPosition) {
    return call(read(connection, statement, minimumPosition, 0));
  }

  EndpointReply run(String connection, StatementKind kind, String statement) {
    return call(execute(connection, kind, statement, ""));
  }

  EndpointCall.Execute execute(
      String connection, StatementKind kind, String statement, String key) {
    Optional<IdempotencyKey> idempotencyKey =
        key.isEmpty() ? Optional.empty() : Optional.of(new IdempotencyKey(key, "f"));
    return new EndpointCall.Execute(
        connection,
        kind,
        statement,
        member.state().term(),
        Position.ZERO,
        0,
        idempotencyKey,
        DEADLINE_MILLIS);
  }

  static EndpointCall.Execute read(
      String connection, String statement, Position minimumPosition, long maxWaitMillis) {
    return new EndpointCall.Execute(
        connection,
        StatementKind.READ,
        statement,
        0,
        minimumPosition,
        maxWaitMillis,
        Optional.empty(),
        DEADLINE_MILLIS);
  }

  static EndpointRefusal refusal(EndpointReply reply) {
    return ((EndpointReply.Refused) reply).refusal();
  }

  static List<String> rows(EndpointReply reply) {
    return ((EndpointReply.Done) reply).rows();
  }

  private void collect() {
    MemberOutput output = member.drain();
    records.addAll(output.records());
    output.answers().forEach(answer -> replies.put(answer.ticket(), answer.reply()));
    output.pullAnswers().forEach(answer -> pullReplies.put(answer.ticket(), answer.reply()));
    pulls.addAll(output.pulls());
  }
}
