package org.sardinebay.internal.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.StoreWatchers.Nearness;
import org.sardinebay.session.RegisteredHost;

/**
 * A store and a fleet whose watches and feeds run in simulated time, with connections that go
 * silent: a call whose connection is lost ends only by its time-out.
 */
final class SimulatedFleet {
  private static final long ROUND_TRIP_MILLIS = 20;
  private static final long CLOSE_WAIT_MILLIS = 2_000;
  private static final long WATCH_MARGIN_MILLIS = 1_000;
  private static final long LIST_TIMEOUT_MILLIS = 2_000;
  private static final long RETRY_MILLIS = 250;
  private static final long CLOSE_MAX_RETRY_MILLIS = 1_000;
  private static final long MAX_RETRY_MILLIS = 2_500;
  private static final long CHECK_MILLIS = 250;

  private record Task(long at, long order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final List<Host> hosts = new ArrayList<>();
  private final List<RegisteredHost> registered = new ArrayList<>();
  private final Set<Call> calls = new HashSet<>();
  private long now;
  private long taskCount;
  private int version = 1;
  private int storeCalls;

  SimulatedFleet(int size, int domains, Random random) {
    for (int i = 0; i < size; i++) {
      registered.add(
          new RegisteredHost(
              new HostId("host-" + i),
              new FailureDomain("hall-" + i % domains),
              new Address("10.0.0.1", 1 + i)));
    }
    registered.forEach(host -> hosts.add(new Host(host)));
    hosts.forEach(host -> at(random.nextInt(300), host::start));
  }

  long now() {
    return now;
  }

  int storeCalls() {
    return storeCalls;
  }

  Host host(int index) {
    return hosts.get(index);
  }

  int size() {
    return hosts.size();
  }

  void at(long time, Runnable action) {
    tasks.add(new Task(time, taskCount++, action));
  }

  void runUntil(long end) {
    while (!tasks.isEmpty() && tasks.peek().at() <= end) {
      Task task = tasks.poll();
      now = task.at();
      task.action().run();
    }
    now = end;
  }

  /** Writes a configuration, which the store acknowledges at once. */
  int write() {
    version++;
    for (Call call : List.copyOf(calls)) {
      if (call.atStore()) {
        call.answer();
      }
    }
    return version;
  }

  /** Silences the connections on which calls wait at present. */
  void silenceConnections() {
    calls.forEach(call -> call.silent = true);
  }

  /** A call that waits for a change. */
  private final class Call {
    private final Host from;
    private final Host to;
    private final Consumer<Call> onAnswer;
    private int version;
    private OptionalLong storeAnsweredAt = OptionalLong.empty();
    private boolean silent;
    private boolean answered;

    Call(
        Host from,
        Host to,
        long waitMillis,
        long timeoutMillis,
        Consumer<Call> onAnswer,
        Runnable onFailure) {
      this.from = from;
      this.to = to;
      this.onAnswer = onAnswer;
      this.silent = !connected();
      calls.add(this);
      at(now + waitMillis, this::answer);
      at(
          now + timeoutMillis,
          () -> {
            if (calls.remove(this)) {
              onFailure.run();
            }
          });
    }

    boolean atStore() {
      return to == null;
    }

    private boolean connected() {
      return to == null ? !from.cut && !from.refused : !from.cut && !to.cut;
    }

    void answer() {
      if (silent || answered || !calls.contains(this)) {
        return;
      }
      answered = true;
      version = to == null ? SimulatedFleet.this.version : to.known;
      storeAnsweredAt = to == null ? OptionalLong.empty() : to.freshness.storeAnsweredAt();
      at(
          now + ROUND_TRIP_MILLIS + from.delayMillis + (to == null ? 0 : to.delayMillis),
          () -> {
            if (!silent && calls.remove(this)) {
              onAnswer.accept(this);
            }
          });
    }
  }

  final class Host {
    private final RegisteredHost entry;
    private final StoreFreshness freshness = new StoreFreshness(SimulatedFleet.this::now);
    private final RetryBackoff backoff =
        new RetryBackoff(
            RETRY_MILLIS, () -> watchesClosely() ? CLOSE_MAX_RETRY_MILLIS : MAX_RETRY_MILLIS);
    private int known;
    private boolean cut;
    private boolean refused;
    private long delayMillis;
    private int life;
    private int watchNumber;
    private long answeredAt;
    private boolean closely;
    private boolean resting;

    private Host(RegisteredHost entry) {
      this.entry = entry;
    }

    int known() {
      return known;
    }

    private void start() {
      closely = StoreWatchers.watchesClosely(entry.id(), registered);
      watch(0);
      for (Nearness nearness : Nearness.values()) {
        poll(
            new ConfigSourceSelector(),
            addresses(
                StoreWatchers.sources(entry.id(), entry.failureDomain(), registered, nearness)),
            addresses(StoreWatchers.spread(entry.id(), registered)));
      }
      check();
    }

    /** Cuts the host off from the store and from all other hosts. */
    void cut(long millis) {
      cut = true;
      calls.stream()
          .filter(call -> call.from == this || call.to == this)
          .forEach(c -> c.silent = true);
      at(now + millis, () -> cut = false);
    }

    /** Has the store ignore the host's calls. */
    void refuse(long millis) {
      refused = true;
      calls.stream()
          .filter(call -> call.from == this && call.atStore())
          .forEach(c -> c.silent = true);
      at(now + millis, () -> refused = false);
    }

    /** Delays the answers to all calls from and to the host. */
    void slow(long delay, long millis) {
      delayMillis = delay;
      at(now + millis, () -> delayMillis = 0);
    }

    /** Ends the process, and starts it again without what it knew. */
    void kill(long millis) {
      cut(millis);
      int killed = ++life;
      at(
          now + millis,
          () -> {
            if (killed == life) {
              known = 0;
              start();
            }
          });
    }

    private void check() {
      if (resting && asksStore()) {
        watch(0);
      }
      inThisLife(CHECK_MILLIS, this::check);
    }

    /** Schedules a task that a restart drops. */
    private void inThisLife(long delay, Runnable task) {
      int scheduled = life;
      at(
          now + delay,
          () -> {
            if (scheduled == life) {
              task.run();
            }
          });
    }

    private boolean asksStore() {
      return watchesClosely() || !freshness.fresh();
    }

    private boolean watchesClosely() {
      return closely;
    }

    private void watch(long waitMillis) {
      int number = ++watchNumber;
      resting = false;
      storeCalls++;
      boolean lists = known == 0 || now - answeredAt > StoreFreshness.MAX_AGE_MILLIS;
      Call call =
          new Call(
              this,
              null,
              lists ? 0 : waitMillis,
              lists ? LIST_TIMEOUT_MILLIS : waitMillis + WATCH_MARGIN_MILLIS,
              reply -> {
                if (number == watchNumber) {
                  backoff.onSuccess();
                  answeredAt = now;
                  learn(reply.version);
                  freshness.onStoreAnswer();
                  confirm();
                  if (asksStore()) {
                    watch(CLOSE_WAIT_MILLIS);
                  } else {
                    resting = true;
                  }
                }
              },
              () -> {
                if (number == watchNumber) {
                  inThisLife(backoff.onFailure(), () -> retry(number));
                }
              });
      if (known < version) {
        call.answer();
      }
    }

    private void retry(int number) {
      if (number == watchNumber) {
        watch(0);
      }
    }

    private void learn(int newer) {
      if (newer > known) {
        known = newer;
        calls.stream().filter(call -> call.to == this).toList().forEach(Call::answer);
      }
    }

    /** Sends those that wait for a change the news that there is none. */
    private void confirm() {
      calls.stream().filter(call -> call.to == this).toList().forEach(Call::answer);
    }

    private static List<Address> addresses(List<RegisteredHost> hosts) {
      return hosts.stream().map(RegisteredHost::peerAddress).toList();
    }

    private void poll(
        ConfigSourceSelector selector, List<Address> preferred, List<Address> others) {
      Host source = hosts.get(selector.next(preferred, others).orElseThrow().port() - 1);
      boolean stale = source.freshness.storeAnsweredAt().isEmpty();
      int polled = life;
      Runnable next =
          () -> {
            if (polled == life) {
              inThisLife(selector.pauseMillis(), () -> poll(selector, preferred, others));
            }
          };
      Call call =
          new Call(
              this,
              source,
              stale ? FeedTiming.STALE_SOURCE_WAIT_MILLIS : FeedTiming.WAIT_MILLIS,
              FeedTiming.REPLY_TIMEOUT_MILLIS,
              reply -> {
                boolean changed = reply.version > known;
                learn(reply.version);
                // By the store's clock here, since all hosts have the same.
                reply.storeAnsweredAt.ifPresent(
                    time -> freshness.onSourceReply(time - ROUND_TRIP_MILLIS / 2));
                if (changed) {
                  selector.recordChanged();
                } else {
                  selector.recordUnchanged();
                }
                next.run();
              },
              () -> {
                selector.recordFailure();
                next.run();
              });
      if (source.known > known) {
        call.answer();
      }
    }
  }
}
