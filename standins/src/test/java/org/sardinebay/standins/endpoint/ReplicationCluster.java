package org.sardinebay.standins.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.MemberRole;
import org.sardinebay.endpoint.StatementKind;

/**
 * A simulated cluster of three members whose messages are delayed, lost and duplicated, with random
 * promotions and restarts. Checks that each entry confirmed by a majority is in the log of every
 * later primary.
 */
final class ReplicationCluster {
  private static final int MEMBERS = 3;
  private static final int MAJORITY = 2;
  private static final int KEYS = 60;
  private static final int PULL_BATCH = 2;
  private static final long DEADLINE_MILLIS = 1_000;
  private static final int FIRST_PORT = 7_001;

  private final Random random;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Message> messages = new ArrayList<>();
  private final TreeMap<Long, Integer> primaries = new TreeMap<>();
  private final TreeMap<Long, List<LogEntry>> logsAtPromotion = new TreeMap<>();
  private final Map<Long, long[]> receivedIndexes = new HashMap<>();
  private final Map<Position, LogEntry> confirmed = new HashMap<>();
  private final Map<Position, Long> confirmationTerms = new HashMap<>();
  private long now;
  private long highestTerm;
  private long tickets;

  ReplicationCluster(Random random) {
    this.random = random;
    for (int i = 0; i < MEMBERS; i++) {
      nodes.add(new Node(i));
    }
  }

  int confirmedEntries() {
    return confirmed.size();
  }

  /** Performs one random action, then checks the invariants. */
  void step() {
    int choice = random.nextInt(100);
    if (choice < 50) {
      deliver(random.nextInt(100) < 15);
    } else if (choice < 65) {
      write(randomNode());
    } else if (choice < 80) {
      now += random.nextInt(40);
      nodes.forEach(Node::tick);
    } else if (choice < 82) {
      promote(random.nextInt(MEMBERS + 1));
    } else if (choice < 98) {
      follow(randomNode());
    } else {
      restart(randomNode());
    }
    recordProgress(randomNode());
    check();
  }

  /** Stops losing messages, promotes a primary and waits until all members have its log. */
  void heal() {
    promote(MEMBERS);
    nodes.forEach(this::follow);
    for (int i = 0; i < 5_000 && !caughtUp(); i++) {
      now += 10;
      nodes.forEach(Node::tick);
      nodes.forEach(this::followNewest);
      deliver(false);
    }
    check();
    assertThat(caughtUp()).as("all members have the primary's log").isTrue();
  }

  private void promote(int fences) {
    long term = ++highestTerm;
    List<Node> fenced = new ArrayList<>();
    int first = random.nextInt(MEMBERS);
    for (int i = 0; i < Math.min(fences, MEMBERS); i++) {
      fenced.add(nodes.get((i + first) % MEMBERS));
    }
    fenced.forEach(node -> node.call(new EndpointCall.Fence(term, owner(term))));
    if (fenced.size() < MAJORITY || (fences < MEMBERS && random.nextInt(100) < 20)) {
      return;
    }
    Node candidate = fenced.get(0);
    for (Node node : fenced) {
      candidate = node.last().compareTo(candidate.last()) > 0 ? node : candidate;
    }
    candidate.call(new EndpointCall.Promote(term, owner(term)));
    primaries.put(term, candidate.index);
    logsAtPromotion.put(term, candidate.entries());
    confirmed.values().forEach(entry -> checkKept(entry, term));
  }

  private Node randomNode() {
    return nodes.get(random.nextInt(MEMBERS));
  }

  private void follow(Node node) {
    List<Long> terms = List.copyOf(primaries.keySet());
    if (terms.isEmpty()) {
      return;
    }
    boolean newest = random.nextInt(100) < 80;
    long term = newest ? primaries.lastKey() : terms.get(random.nextInt(terms.size()));
    if (primaries.get(term) == node.index) {
      node.call(new EndpointCall.Promote(term, owner(term)));
    } else {
      node.follow(term, primaries.get(term));
    }
  }

  private void followNewest(Node node) {
    if (node.member.state().role() == MemberRole.FENCED && node.index != newestPrimary()) {
      node.follow(primaries.lastKey(), newestPrimary());
    }
  }

  private int newestPrimary() {
    return primaries.lastEntry().getValue();
  }

  private boolean caughtUp() {
    List<LogEntry> expected = nodes.get(newestPrimary()).entries();
    return nodes.stream()
        .allMatch(node -> node.entries().equals(expected) && node.member.state().synced());
  }

  private void write(Node node) {
    int key = random.nextInt(KEYS);
    boolean revoke = random.nextInt(100) < 20;
    StatementKind kind = revoke ? StatementKind.REVOKE : StatementKind.WRITE;
    node.call(new EndpointCall.Open("proxy"));
    node.connection.ifPresent(
        connection -> {
          node.call(execute(connection, kind, key, node.member.state().term()));
          node.call(new EndpointCall.Close(connection));
        });
  }

  private static EndpointCall execute(String connection, StatementKind kind, int key, long term) {
    return new EndpointCall.Execute(
        connection,
        kind,
        "append list " + key,
        term,
        Position.ZERO,
        0,
        Optional.of(new IdempotencyKey("key-" + key, "f")),
        DEADLINE_MILLIS);
  }

  private void deliver(boolean lose) {
    if (messages.isEmpty()) {
      return;
    }
    Message message = messages.remove(random.nextInt(messages.size()));
    if (lose) {
      message.from.pulled(message.pull.id(), Optional.empty());
    } else if (message.reply.isEmpty()) {
      message.to().pull(message);
    } else {
      message.from.pulled(message.pull.id(), message.reply);
      if (random.nextInt(100) < 20) {
        messages.add(message);
      }
    }
  }

  private void restart(Node node) {
    List<Message> lost =
        messages.stream().filter(message -> message.from == node || message.to() == node).toList();
    messages.removeAll(lost);
    nodes.forEach(other -> other.dropRepliesTo(node));
    node.restart();
    lost.stream()
        .filter(message -> message.from != node)
        .forEach(message -> message.from.pulled(message.pull.id(), Optional.empty()));
  }

  /**
   * Records the position that a member reports, as a proxy does that polls the member's progress,
   * and confirms the entries that a majority has received.
   */
  private void recordProgress(Node node) {
    EndpointReply.Standing standing = node.member.standing();
    if (!standing.synced()) {
      return;
    }
    long[] indexes = receivedIndexes.computeIfAbsent(standing.term(), term -> new long[MEMBERS]);
    indexes[node.index] = Math.max(indexes[node.index], standing.received().index());
    long[] sorted = indexes.clone();
    Arrays.sort(sorted);
    long majorityIndex = sorted[MEMBERS - MAJORITY];
    for (LogEntry entry : node.entries()) {
      if (entry.position().index() <= majorityIndex) {
        confirm(entry, standing.term());
      }
    }
  }

  private void confirm(LogEntry entry, long term) {
    LogEntry before = confirmed.putIfAbsent(entry.position(), entry);
    assertThat(before).as("entry confirmed at a position").isIn(null, entry);
    if (confirmationTerms.getOrDefault(entry.position(), Long.MAX_VALUE) > term) {
      confirmationTerms.put(entry.position(), term);
      logsAtPromotion.tailMap(term, false).keySet().forEach(later -> checkKept(entry, later));
    }
  }

  private void checkKept(LogEntry entry, long laterTerm) {
    Position position = entry.position();
    List<LogEntry> log = logsAtPromotion.get(laterTerm);
    if (laterTerm <= confirmationTerms.get(position)) {
      return;
    }
    assertThat(log.size())
        .as("primary of term %d keeps %s", laterTerm, position)
        .isGreaterThanOrEqualTo((int) position.index());
    assertThat(log.get((int) position.index() - 1))
        .as("primary of term %d keeps %s", laterTerm, position)
        .isEqualTo(entry);
    if (entry.tombstone()) {
      checkRevoked(entry.key(), log);
    }
  }

  private static void checkRevoked(Optional<IdempotencyKey> key, List<LogEntry> log) {
    assertThat(log)
        .as("%s is revoked and has no effect", key)
        .noneMatch(entry -> entry.key().equals(key) && !entry.effects().isEmpty());
  }

  private void check() {
    nodes.forEach(node -> checkKeys(node.entries()));
    nodes.stream()
        .filter(node -> !primaries.isEmpty() && node.leads(primaries.lastKey()))
        .forEach(this::checkRevoked);
  }

  private void checkRevoked(Node primary) {
    confirmed.values().stream()
        .filter(LogEntry::tombstone)
        .forEach(entry -> checkRevoked(entry.key(), primary.entries()));
  }

  private void checkKeys(List<LogEntry> log) {
    Set<String> seenKeys = new HashSet<>();
    for (LogEntry entry : log) {
      entry
          .key()
          .ifPresent(
              key -> assertThat(seenKeys.add(key.value())).as("one entry for %s", key).isTrue());
    }
  }

  /** A request for entries in transit, or its reply. */
  private final class Message {
    private final Node from;
    private final MemberOutput.Pull pull;
    private final Optional<PullReply> reply;

    private Message(Node from, MemberOutput.Pull pull, Optional<PullReply> reply) {
      this.from = from;
      this.pull = pull;
      this.reply = reply;
    }

    private Node to() {
      return nodes.get(pull.address().port() - FIRST_PORT);
    }
  }

  /** A member with its journal records. */
  private final class Node {
    private final int index;
    private final MemberSettings settings;
    private final List<JournalRecord> records = new ArrayList<>();
    private final Map<Long, Message> pendingPulls = new HashMap<>();
    private Member member;
    private Optional<String> connection = Optional.empty();

    private Node(int index) {
      this.index = index;
      settings = new MemberSettings(id(index), 5, 2, 0, 3_000, 0, PULL_BATCH);
      member = new Member(settings, faults(), records);
    }

    private void call(EndpointCall call) {
      member.call(now, tickets++, call);
      collect();
    }

    private void follow(long term, int primary) {
      call(
          new EndpointCall.Follow(
              term, id(primary), new Address("127.0.0.1", FIRST_PORT + primary)));
    }

    private void pull(Message message) {
      long ticket = tickets++;
      pendingPulls.put(ticket, message);
      member.pull(now, ticket, message.pull.request());
      collect();
    }

    private void pulled(long id, Optional<PullReply> reply) {
      member.pulled(now, id, reply);
      collect();
    }

    private void tick() {
      member.tick(now);
      collect();
    }

    private void restart() {
      pendingPulls
          .values()
          .forEach(message -> message.from.pulled(message.pull.id(), Optional.empty()));
      pendingPulls.clear();
      connection = Optional.empty();
      member = new Member(settings, faults(), List.copyOf(records));
    }

    private void dropRepliesTo(Node client) {
      pendingPulls.values().removeIf(message -> message.from == client);
    }

    private void collect() {
      MemberOutput output = member.drain();
      records.addAll(output.records());
      for (MemberOutput.Answer answer : output.answers()) {
        if (answer.reply() instanceof EndpointReply.Opened opened) {
          connection = Optional.of(opened.connection());
        }
      }
      for (MemberOutput.PullAnswer answer : output.pullAnswers()) {
        Message request = pendingPulls.remove(answer.ticket());
        if (request != null) {
          messages.add(new Message(request.from, request.pull, Optional.of(answer.reply())));
        }
      }
      output.pulls().forEach(pull -> messages.add(new Message(this, pull, Optional.empty())));
    }

    private boolean leads(long term) {
      return member.state().refusalInTerm(term).isEmpty();
    }

    private Position last() {
      return member.state().log().last();
    }

    private List<LogEntry> entries() {
      return member.state().log().after(0, Integer.MAX_VALUE);
    }
  }

  private MemberFaults faults() {
    return new MemberFaults(random.nextInt(10), random.nextInt(10), false, false);
  }

  private static String owner(long term) {
    return "driver-" + term;
  }

  private static MemberId id(int index) {
    return new MemberId("member-" + index);
  }
}
