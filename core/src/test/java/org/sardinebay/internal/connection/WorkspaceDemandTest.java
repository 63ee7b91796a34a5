package org.sardinebay.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinebay.WorkspaceId;

/**
 * Plays the demand of 86 workspaces of very different size over the decisions about one home's
 * connections to one member, without a network. Guards against connections that are replaced so
 * often that the member is mostly busy with opening them, and against workspaces that never get
 * one.
 */
class WorkspaceDemandTest {
  private static final int WORKSPACES = 86;
  private static final double ZIPF_EXPONENT = 1.2;

  /** A sixth of the 56 connections of a member, of which two are kept in reserve. */
  private static final int FAIR_SHARE = 9;

  /** The most connections that one home may hold, if the other homes leave theirs unused. */
  private static final int MAX_SHARE = 25;

  /** How long a statement may wait: 48 % of the shortest timeout, 800 ms. */
  private static final long MAX_WAIT_MILLIS = 384;

  private static final int SLOTS = 4;
  private static final long SERVICE_MILLIS = 14;
  private static final long ROUND_TRIP_MILLIS = 1;

  /** The served share of a workspace with fewer statements says little. */
  private static final int FEW_STATEMENTS = 20;

  private static final long SEED = 20_261_204;

  /** One statement; the times are in milliseconds. */
  private record Statement(int number, Optional<WorkspaceId> workspace, long arrivedAt) {}

  private record Event(long at, Runnable action) {}

  /** One home's connections to one member, and the statements that wait for them. */
  private static final class Home {
    private final int connections;
    private final IdleConnections<Integer> idle = new IdleConnections<>();
    private final Deque<Statement> waiting = new ArrayDeque<>();
    private final List<Statement> opened = new ArrayList<>();
    private final List<Optional<WorkspaceId>> serving = new ArrayList<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private long now;
    private int size;
    private int opening;
    private int openings;
    private Optional<Statement> starved = Optional.empty();
    private long longestWait;
    private int expired;
    private final Map<Optional<WorkspaceId>, Integer> arrivedByWorkspace = new HashMap<>();
    private final Map<Optional<WorkspaceId>, Integer> servedByWorkspace = new HashMap<>();

    private Home(int connections) {
      this.connections = connections;
    }

    private void arrive(Statement statement) {
      arrivedByWorkspace.merge(statement.workspace(), 1, Integer::sum);
      if (!place(statement)) {
        waiting.add(statement);
      }
    }

    private boolean place(Statement statement) {
      Optional<WorkspaceId> workspace = statement.workspace();
      Optional<Integer> connection = idle.take(workspace, c -> true);
      if (connection.isPresent()) {
        servedByWorkspace.merge(workspace, 1, Integer::sum);
        longestWait = Math.max(longestWait, now - statement.arrivedAt());
        serving.add(workspace);
        at(SERVICE_MILLIS + ROUND_TRIP_MILLIS, () -> idleAgain(connection.get(), workspace));
        return true;
      }
      if (!opened.contains(statement)) {
        open(statement);
      }
      return false;
    }

    private void open(Statement statement) {
      Optional<WorkspaceId> workspace = statement.workspace();
      long waited = now - statement.arrivedAt();
      int own = (int) serving.stream().filter(workspace::equals).count();
      boolean starved = ConnectionOpening.starved(own, waited);
      Optional<Integer> replaceable =
          idle.replaceable(new IdleConnections.Claim(workspace, this::awaited, starved))
              .filter(c -> opening < ConnectionOpening.MAX_OPENING);
      int before =
          (int) waiting.stream().filter(w -> !w.equals(statement) && same(w, statement)).count();
      ConnectionOpening.Decision decision =
          ConnectionOpening.decide(
              new ConnectionOpening.Demand(before, waited, SERVICE_MILLIS + ROUND_TRIP_MILLIS),
              new ConnectionOpening.Supply(
                  own,
                  size < connections && opening < ConnectionOpening.MAX_OPENING,
                  replaceable.isPresent(),
                  ConnectionOpening.openMillis(ROUND_TRIP_MILLIS)));
      if (decision == ConnectionOpening.Decision.REPLACE) {
        idle.remove(replaceable.orElseThrow());
        size--;
      } else if (decision != ConnectionOpening.Decision.OPEN) {
        return;
      }
      size++;
      opening++;
      int connection = ++openings;
      opened.add(statement);
      serving.add(workspace);
      at(
          ConnectionOpening.openMillis(ROUND_TRIP_MILLIS),
          () -> {
            opening--;
            opened.remove(statement);
            serving.remove(workspace);
            idle.addNew(connection, workspace, now);
            dispatch();
          });
    }

    private boolean goesFirst(Statement statement) {
      long waited = now - statement.arrivedAt();
      boolean served = serving.contains(statement.workspace());
      return !opened.contains(statement)
          && ConnectionOpening.goesFirst(served ? 1 : 0, waited, MAX_WAIT_MILLIS - waited);
    }

    private boolean awaited(Optional<WorkspaceId> workspace) {
      return waiting.stream().anyMatch(statement -> statement.workspace().equals(workspace));
    }

    private static boolean same(Statement one, Statement other) {
      return one.workspace().equals(other.workspace());
    }

    private void idleAgain(int connection, Optional<WorkspaceId> workspace) {
      serving.remove(workspace);
      idle.add(connection, workspace, now);
      if (starved.filter(opened::contains).isEmpty()) {
        starved = waiting.stream().filter(this::goesFirst).findFirst();
        starved.ifPresent(this::open);
      }
      dispatch();
    }

    private void dispatch() {
      int before = waiting.size();
      waiting.removeIf(statement -> now - statement.arrivedAt() >= MAX_WAIT_MILLIS);
      expired += before - waiting.size();
      for (Statement statement : List.copyOf(waiting)) {
        if (place(statement)) {
          waiting.remove(statement);
        }
      }
    }

    /** Returns the lowest share of the statements of a workspace that were served. */
    private double lowestServedShare() {
      return arrivedByWorkspace.entrySet().stream()
          .filter(entry -> entry.getValue() >= FEW_STATEMENTS)
          .mapToDouble(
              entry ->
                  servedByWorkspace.getOrDefault(entry.getKey(), 0) / (double) entry.getValue())
          .min()
          .orElse(1);
    }

    /** Schedules an action; the load on the member's slots delays it in proportion. */
    private void at(long delay, Runnable action) {
      int busy = serving.size() + 1;
      events.add(new Event(now + delay * Math.max(SLOTS, busy) / SLOTS, action));
    }

    private void advanceTo(long time) {
      while (!events.isEmpty() && events.peek().at() <= time) {
        Event event = events.poll();
        now = event.at();
        event.action().run();
      }
      now = time;
      dispatch();
    }
  }

  private record Result(
      double openedShare, long longestWait, double expiredShare, double lowestServedShare) {}

  /** Plays the demand of the given workspaces on one home; they share the rate by their size. */
  private static Result play(int connections, double perSecond, long millis, int everyNth) {
    Random random = new Random(SEED);
    Home home = new Home(connections);
    int statements = 0;
    double next = 0;
    while (next < millis) {
      next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      int rank = rank(random);
      if (rank % everyNth == 0) {
        home.advanceTo((long) next);
        home.arrive(
            new Statement(
                statements, Optional.of(new WorkspaceId("workspace-" + rank)), (long) next));
        statements++;
      }
    }
    home.advanceTo(millis + 5_000);
    return new Result(
        (double) home.openings / statements,
        home.longestWait,
        (double) home.expired / statements,
        home.lowestServedShare());
  }

  private static int rank(Random random) {
    double sum = 0;
    for (int i = 1; i <= WORKSPACES; i++) {
      sum += Math.pow(i, -ZIPF_EXPONENT);
    }
    double at = random.nextDouble() * sum;
    int rank = 0;
    while (at > 0 && rank < WORKSPACES) {
      at -= Math.pow(++rank, -ZIPF_EXPONENT);
    }
    return rank;
  }

  private static final int ALL = 1;
  private static final int HALF = 2;
  private static final long MILLIS = 30_000;

  @ParameterizedTest
  @ValueSource(ints = {16, 60, 120})
  void should_find_most_connections_idle_where_two_homes_share_the_workspaces(int perSecond) {
    assertThat(play(MAX_SHARE, perSecond, MILLIS, HALF).openedShare()).isLessThan(0.2);
  }

  @Test
  void should_open_for_fewer_than_half_of_the_statements_on_the_fair_share_of_connections() {
    assertThat(play(FAIR_SHARE, 60, MILLIS, HALF).openedShare()).isLessThan(0.45);
  }

  @ParameterizedTest
  @ValueSource(ints = {16, 60, 120})
  void should_serve_every_statement_in_time_below_the_capacity(int perSecond) {
    Result result = play(FAIR_SHARE, perSecond, MILLIS, ALL);

    assertThat(result.expiredShare()).isZero();
    assertThat(result.longestWait()).isLessThan(MAX_WAIT_MILLIS / 2);
  }

  @Test
  void should_serve_every_workspace_and_open_few_connections_beyond_the_capacity() {
    Result result = play(FAIR_SHARE, 300, MILLIS, ALL);

    assertThat(result.lowestServedShare()).isPositive();
    assertThat(result.openedShare()).isLessThan(0.35);
    assertThat(result.expiredShare()).isLessThan(0.5);
  }
}
