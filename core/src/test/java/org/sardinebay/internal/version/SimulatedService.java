package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;

/**
 * The members of one service, a store and several hosts in simulated time. Hosts run the real
 * decisions ({@link SimulatedHost}); members, store and links are models of the platform's. Any
 * link may be cut, one way too, or refuse connections.
 */
final class SimulatedService {
  static final String STORE = "store";

  /** How long an entry stands without a heartbeat of its member. */
  static final long ENTRY_MILLIS = 3_600;

  private static final long HEARTBEAT_MILLIS = ENTRY_MILLIS / 3;
  private static final long DEMOTED_AFTER_MILLIS = 1_000;
  private static final long STEP_MILLIS = 10;

  /** How a link treats what is sent over it. */
  enum Link {
    WHOLE,
    CUT,
    REFUSING
  }

  private record Task(long at, long order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** An announced change of primary. */
  record Announcement(long term, long token) {}

  /** A value of an object of the store, at a version from 1. */
  record Versioned<T>(T value, long version) {}

  /** An object of the store that is written under a condition. */
  static final class VersionedObject<T> {
    private Optional<Versioned<T>> current = Optional.empty();

    Optional<Versioned<T>> read() {
      return current;
    }

    /** Writes if the version is the expected one; returns the new version, 0 on a conflict. */
    long write(T value, long expected) {
      long version = current.map(Versioned::version).orElse(0L);
      if (version != expected) {
        return 0;
      }
      current = Optional.of(new Versioned<>(value, version + 1));
      return version + 1;
    }
  }

  private final Random random;
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final Map<String, Link> links = new HashMap<>();
  private final Map<String, Long> disturbedUntil = new HashMap<>();
  private final Map<MemberId, Long> heartbeats = new HashMap<>();
  private final Map<MemberId, MemberEntry> registry = new HashMap<>();
  private long now;
  private long taskCount;
  private long termsLed = 1;
  private final List<Member> members = new ArrayList<>();
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final VersionedObject<PromotionLeaseClaim.LeaseRecord> driverLease =
      new VersionedObject<>();
  private final VersionedObject<Announcement> announcement = new VersionedObject<>();
  private boolean storeDown;

  SimulatedService(int memberCount, int hostCount, Random random) {
    this.random = random;
    for (int i = 0; i < memberCount; i++) {
      members.add(new Member(i));
    }
    members.get(0).role = MemberRole.PRIMARY;
    members.forEach(Member::heartbeat);
    for (int i = 0; i < hostCount; i++) {
      SimulatedHost host = new SimulatedHost(this, "host-" + i);
      hosts.add(host);
      at(random.nextInt(300), host::start);
    }
  }

  long now() {
    return now;
  }

  List<Member> members() {
    return members;
  }

  List<SimulatedHost> hosts() {
    return hosts;
  }

  VersionedObject<PromotionLeaseClaim.LeaseRecord> driverLease() {
    return driverLease;
  }

  VersionedObject<Announcement> announcement() {
    return announcement;
  }

  void storeDown(boolean down) {
    storeDown = down;
  }

  void at(long time, Runnable action) {
    tasks.add(new Task(time, taskCount++, action));
  }

  /** Runs until a time; calls the check after each step. */
  void runUntil(long end, Runnable check) {
    while (now < end) {
      now += STEP_MILLIS;
      while (!tasks.isEmpty() && tasks.peek().at() <= now) {
        tasks.poll().action().run();
      }
      registry.keySet().removeIf(id -> now - heartbeats.get(id) >= ENTRY_MILLIS);
      members.forEach(Member::follow);
      check.run();
    }
  }

  private Link link(String from, String to) {
    return links.getOrDefault(from + ">" + to, Link.WHOLE);
  }

  /** Sets a link in one direction until a time; overlapping disturbances last until the later. */
  void disturb(String from, String to, Link link, long until) {
    String key = from + ">" + to;
    links.put(key, link);
    disturbedUntil.merge(key, until, Math::max);
    at(until, () -> heal(key));
  }

  private void heal(String key) {
    if (disturbedUntil.get(key) <= now) {
      links.remove(key);
    }
  }

  /**
   * Sends a request. The answer is computed when the request arrives, and is lost if the way back
   * is cut by then.
   */
  <T> void call(
      String from,
      String to,
      long timeoutMillis,
      Supplier<Optional<T>> request,
      Consumer<T> onAnswer,
      Consumer<Boolean> onFailure) {
    long sentAt = now;
    boolean[] done = {false};
    at(sentAt + timeoutMillis, () -> complete(done, () -> onFailure.accept(false)));
    Link way = link(from, to);
    if (way == Link.REFUSING) {
      at(now + 1 + random.nextInt(20), () -> complete(done, () -> onFailure.accept(true)));
    } else if (way == Link.WHOLE) {
      at(
          now + 1 + random.nextInt(20),
          () -> {
            Optional<T> answer = request.get();
            if (answer.isEmpty()) {
              at(now + 5, () -> complete(done, () -> onFailure.accept(true)));
            } else if (link(to, from) == Link.WHOLE) {
              long delay = 1L + random.nextInt(random.nextInt(20) == 0 ? 600 : 20);
              at(now + delay, () -> complete(done, () -> onAnswer.accept(answer.get())));
            }
          });
    }
  }

  private static void complete(boolean[] done, Runnable action) {
    if (!done[0]) {
      done[0] = true;
      action.run();
    }
  }

  <T> void callStore(
      String from, long timeoutMillis, Supplier<T> request, Consumer<T> onAnswer, Runnable onFail) {
    if (storeDown) {
      at(now + timeoutMillis, onFail);
      return;
    }
    call(
        from,
        STORE,
        timeoutMillis,
        () -> Optional.of(request.get()),
        onAnswer,
        refused -> onFail.run());
  }

  List<MemberEntry> listMembers() {
    return registry.values().stream().sorted((a, b) -> a.id().compareTo(b.id())).toList();
  }

  /** The platform promotes a member some hundred milliseconds after the order. */
  boolean promote(MemberId id) {
    Member member = member(id);
    if (!member.running) {
      return false;
    }
    at(now + 300 + random.nextInt(700), member::lead);
    return true;
  }

  Member member(MemberId id) {
    return members.stream().filter(m -> m.id.equals(id)).findFirst().orElseThrow();
  }

  final class Member {
    private final MemberId id;
    private final Address address;
    private long startedAt;
    private boolean running = true;
    private boolean draining;
    private MemberRole role = MemberRole.REPLICA;
    private long term = 1;
    private long index = 10;
    private long fence;
    private final Map<MemberId, Long> reachesSuccessorSince = new HashMap<>();

    private Member(int number) {
      this.id = new MemberId("m-" + number);
      this.address = new Address("10.0.0.1", 9_000 + number);
    }

    private void heartbeat() {
      int life = (int) startedAt;
      if (running && !storeDown && link(id.value(), STORE) == Link.WHOLE) {
        heartbeats.put(id, now);
        registry.put(id, entry());
      }
      at(
          now + HEARTBEAT_MILLIS,
          () -> {
            if (running && life == (int) startedAt) {
              heartbeat();
            }
          });
    }

    MemberId id() {
      return id;
    }

    boolean leads() {
      return role == MemberRole.PRIMARY;
    }

    void drain() {
      draining = true;
    }

    private MemberEntry entry() {
      return new MemberEntry(
          id,
          OptionalLong.of(startedAt),
          "orders",
          address,
          new FailureDomain("hall"),
          3,
          draining,
          role,
          false);
    }

    void crash() {
      running = false;
    }

    /** Starts again with its log, as a replica if another member was promoted. */
    void restart() {
      if (!running) {
        running = true;
        draining = false;
        startedAt = now;
        fence = 0;
        if (term < termsLed) {
          role = MemberRole.REPLICA;
        }
        heartbeat();
      }
    }

    Optional<MemberStatus> status() {
      return running
          ? Optional.of(new MemberStatus(role, term, new Position(term, index), fence, 0, 0, 1))
          : Optional.empty();
    }

    Optional<MemberStatus> fence(long newTerm) {
      if (running && role == MemberRole.REPLICA && newTerm > term) {
        fence = newTerm;
      }
      return status();
    }

    Optional<MemberStatus> unfence() {
      fence = 0;
      return status();
    }

    Optional<MemberStatus> demote(long newTerm) {
      if (running && role == MemberRole.PRIMARY && term < newTerm) {
        role = MemberRole.REPLICA;
      }
      return status();
    }

    private void lead() {
      if (running) {
        role = MemberRole.PRIMARY;
        term = ++termsLed;
        members.forEach(m -> m.fence = 0);
      }
    }

    /** Replicates from the newest primary that reaches this member, or follows its successor. */
    private void follow() {
      if (!running) {
        return;
      }
      if (role == MemberRole.PRIMARY) {
        index++;
      }
      for (Member other : members) {
        boolean reaches =
            other.running
                && other.role == MemberRole.PRIMARY
                && link(other.id.value(), id.value()) == Link.WHOLE
                && link(id.value(), other.id.value()) == Link.WHOLE;
        if (!reaches || other.term < term || other == this || fence > 0) {
          reachesSuccessorSince.remove(other.id);
          continue;
        }
        long since = reachesSuccessorSince.computeIfAbsent(other.id, key -> now);
        if (role == MemberRole.REPLICA || now - since >= DEMOTED_AFTER_MILLIS) {
          role = MemberRole.REPLICA;
          term = other.term;
          index = other.index;
        }
      }
    }
  }

  /**
   * Two hosts that rely on primaries of different terms, after the newer one may have committed.
   */
  Optional<String> conflict(Set<Long> termsUsed) {
    Set<Long> inUse = new HashSet<>();
    for (SimulatedHost host : hosts) {
      host.termInUse().ifPresent(inUse::add);
    }
    termsUsed.addAll(inUse);
    long newest = termsUsed.stream().mapToLong(Long::longValue).max().orElse(0);
    return inUse.stream().anyMatch(term -> term < newest)
        ? Optional.of("at " + now + " ms, terms in use " + inUse + ", newest used " + newest)
        : Optional.empty();
  }
}
