package org.sardinebay.internal.process;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.internal.version.QuotaHosts;
import org.sardinebay.internal.version.QuotaRule;
import org.sardinebay.internal.version.QuotaShards;
import org.sardinebay.internal.version.QuotaView;
import org.sardinebay.session.RegisteredHost;
import org.sardinebay.session.Workspace;
import org.sardinebay.session.Workspaces;

/**
 * Runs the decisions of a fleet for one workspace in simulated time: keepers, tokens, and the calls
 * between hosts with the latencies of six failure domains in three regions.
 */
final class QuotaFleetRun {
  static final QuotaRule RULE = QuotaRule.DEFAULT;
  private static final WorkspaceId WORKSPACE = new WorkspaceId("ws");
  private static final int DOMAINS = 6;
  private static final long CALL_TIMEOUT_MILLIS = 200;
  private static final long PROBE_MILLIS = 700;

  private final List<Host> hosts = new ArrayList<>();
  private final List<Long> runAt = new ArrayList<>();
  private long waitedMillis;
  private long refused;
  private long calls;
  private long now;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long scheduled;

  private record Event(long at, long number, Runnable task) {}

  QuotaFleetRun(int size, Workspace workspace, long seed) {
    random = new Random(seed);
    List<RegisteredHost> fleet = IntStream.range(0, size).mapToObj(QuotaFleetRun::host).toList();
    for (int i = 0; i < size; i++) {
      hosts.add(new Host(i, fleet, workspace));
    }
  }

  Host at(int index) {
    return hosts.get(index);
  }

  /** Returns when each statement ran, in ascending order. */
  List<Long> runAt() {
    return runAt;
  }

  double refusedPart() {
    return (double) refused / Math.max(1, refused + runAt.size());
  }

  double meanWaitMillis() {
    return (double) waitedMillis / Math.max(1, runAt.size());
  }

  double callsPerStatement() {
    return (double) calls / Math.max(1, refused + runAt.size());
  }

  /** Forgets what was counted so far. */
  void resetCounts() {
    runAt.clear();
    refused = 0;
    calls = 0;
    waitedMillis = 0;
  }

  static RegisteredHost host(int index) {
    return new RegisteredHost(
        new HostId("host-" + index),
        new FailureDomain("d" + index % DOMAINS),
        new Address("10.0.0.1", 1 + index));
  }

  void at(long time, Runnable task) {
    events.add(new Event(time, scheduled++, task));
  }

  /** Adds statements with random intervals, on average {@code perSecond} in all. */
  void demand(double perSecond, double[] weights, long from, long until) {
    double total = Arrays.stream(weights).sum();
    double time = from;
    while (time < until) {
      time += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      double choice = random.nextDouble() * total;
      int index = 0;
      while (index < weights.length - 1 && choice >= weights[index]) {
        choice -= weights[index++];
      }
      Host host = hosts.get(index);
      at((long) time, () -> host.act(() -> host.perform(host.tokens.onStatement(now, now))));
    }
  }

  void run(long until) {
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event event = events.remove();
      now = event.at();
      event.task().run();
    }
  }

  private static long oneWayMillis(int from, int to) {
    if (from % DOMAINS == to % DOMAINS) {
      return 1;
    }
    return from % DOMAINS / 2 == to % DOMAINS / 2 ? 2 : 8;
  }

  final class Host {
    private final int index;
    private Set<Integer> unreachable = Set.of();
    private QuotaView view;
    private QuotaKeeper keeper;
    private QuotaTokens<Long> tokens;
    private QuotaKeeperHealth health;
    private boolean dead;
    private int starts;
    private long pausedUntil;

    private Host(int index, List<RegisteredHost> fleet, Workspace workspace) {
      this.index = index;
      this.view = QuotaView.of(RULE, fleet, true, workspaces(workspace));
      start();
    }

    void start() {
      dead = false;
      starts++;
      health = new QuotaKeeperHealth();
      tokens = new QuotaTokens<>(health::answers, index);
      keeper = new QuotaKeeper(host(index).id(), view);
      apply(view);
    }

    void kill() {
      dead = true;
      starts++;
    }

    void pause(long millis) {
      pausedUntil = Math.max(pausedUntil, now + millis);
    }

    void cutOff(Set<Integer> others) {
      unreachable = others;
    }

    void limit(Workspace workspace) {
      apply(view.withWorkspaces(workspaces(workspace)));
    }

    void fleet(List<RegisteredHost> fleet, Workspace workspace) {
      apply(QuotaView.of(RULE, fleet, true, workspaces(workspace)));
    }

    /** Starts a process that knows no hosts. */
    void startAlone(QuotaHosts known, Workspace workspace) {
      view = QuotaView.of(RULE, known.all(), known.complete(), workspaces(workspace));
      start();
    }

    void listed(QuotaHosts known, List<RegisteredHost> registered, Workspace workspace) {
      if (!dead && known.update(registered, now)) {
        apply(QuotaView.of(RULE, known.all(), known.complete(), workspaces(workspace)));
      }
    }

    private void apply(QuotaView newer) {
      view = newer;
      keeper.update(view);
      List<HostId> keepers =
          view.shards(WORKSPACE).map(QuotaShards::keepers).orElse(List.of()).stream()
              .map(RegisteredHost::id)
              .toList();
      List<HostId> near = new ArrayList<>(keepers);
      near.sort((a, b) -> Long.compare(distance(a), distance(b)));
      tokens.setKeepers(keepers, near);
    }

    /** Like hosts do it: by distance, and among equals in an order of each host's own. */
    private long distance(HostId other) {
      int to = indexOf(other);
      long own = Math.floorMod(new Random(31L * index + to).nextInt(), 1_000);
      return to == index ? -1 : oneWayMillis(index, to) * 1_000 + own;
    }

    private void act(Runnable task) {
      int start = starts;
      if (answersNow()) {
        task.run();
      } else if (!dead) {
        at(pausedUntil, () -> resume(start, task));
      }
    }

    private void resume(int start, Runnable task) {
      if (start == starts) {
        act(task);
      }
    }

    private void perform(List<QuotaStep<Long>> steps) {
      for (QuotaStep<Long> step : steps) {
        if (step instanceof QuotaStep.Run<Long> run) {
          runAt.add(now);
          waitedMillis += now - run.statement();
        } else if (step instanceof QuotaStep.Ask<Long> ask) {
          call(ask);
        } else {
          refused++;
        }
      }
    }

    private void call(QuotaStep.Ask<Long> ask) {
      int to = indexOf(ask.keeper());
      if (to == index) {
        QuotaKeeper.Grant grant = keeper.grant(WORKSPACE, ask.wanted(), now);
        perform(tokens.onReply(ask, grant.granted(), grant.retryAfterMillis(), now));
        return;
      }
      calls++;
      boolean[] ended = {false};
      int start = starts;
      at(now + CALL_TIMEOUT_MILLIS, () -> resume(start, () -> end(ask, ended, Optional.empty())));
      if (to < hosts.size() && !unreachable.contains(to)) {
        Host other = hosts.get(to);
        long delay = oneWayMillis(index, to);
        at(now + delay, () -> other.act(() -> other.answer(this, start, ask, ended)));
      }
    }

    private void probeLater(HostId keeper) {
      int start = starts;
      at(now + PROBE_MILLIS, () -> resume(start, () -> probe(keeper)));
    }

    private void probe(HostId keeper) {
      int to = indexOf(keeper);
      if (to < hosts.size() && !unreachable.contains(to) && hosts.get(to).answersNow()) {
        health.onAnswer(keeper);
      } else {
        probeLater(keeper);
      }
    }

    private boolean answersNow() {
      return !dead && now >= pausedUntil;
    }

    private void answer(Host caller, int start, QuotaStep.Ask<Long> ask, boolean[] ended) {
      QuotaKeeper.Grant grant = keeper.grant(WORKSPACE, ask.wanted(), now);
      if (!unreachable.contains(caller.index)) {
        Runnable reply = () -> caller.end(ask, ended, Optional.of(grant));
        at(now + oneWayMillis(index, caller.index), () -> caller.resume(start, reply));
      }
    }

    private void end(QuotaStep.Ask<Long> ask, boolean[] ended, Optional<QuotaKeeper.Grant> grant) {
      if (ended[0]) {
        return;
      }
      ended[0] = true;
      if (grant.isPresent()) {
        health.onAnswer(ask.keeper());
        perform(tokens.onReply(ask, grant.get().granted(), grant.get().retryAfterMillis(), now));
        return;
      }
      health.onUnanswered(ask.keeper(), now);
      probeLater(ask.keeper());
      perform(tokens.onUnanswered(ask, now));
    }
  }

  static Workspace workspace(double rate, double burst) {
    return new Workspace(WORKSPACE, 1, rate, burst);
  }

  private static Optional<Workspaces> workspaces(Workspace workspace) {
    return Optional.of(new Workspaces(Map.of(WORKSPACE, workspace), Map.of()));
  }

  private static int indexOf(HostId host) {
    return Integer.parseInt(host.value().substring("host-".length()));
  }
}
