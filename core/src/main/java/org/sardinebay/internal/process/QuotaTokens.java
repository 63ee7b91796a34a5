package org.sardinebay.internal.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.sardinebay.HostId;
import org.sardinebay.internal.version.QuotaShards;

/**
 * The tokens of one workspace that this host holds, and the statements that wait for one. Decides
 * which keeper to ask next and when to refuse. Covers callers that send more than the workspace's
 * limit, and demand that is spread unevenly over hosts: a host whose near keepers have no tokens
 * left asks those farther away.
 *
 * <pre>{@code
 * for (QuotaStep<S> step : tokens.onStatement(statement, now)) { ... }
 * for (QuotaStep<S> step : tokens.onReply(ask, granted, retryAfterMillis, now)) { ... }
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 *
 * @param <S> identifies a statement
 */
public final class QuotaTokens<S> {
  /**
   * How many keepers without a token are asked for one statement before it is refused. With fewer,
   * statements are refused below the limit when demand is spread unevenly over the hosts.
   */
  private static final int MAX_ASKED = 6;

  /** A keeper that doesn't answer costs 200 ms, so half as many of those are asked. */
  private static final int UNANSWERED_WEIGHT = 2;

  /**
   * How long a statement that was waiting when a token was asked for may use it, in milliseconds.
   * Longer than for tokens asked for ahead, because a host whose event loop is late would otherwise
   * discard each token that it gets and serve nothing. It is 3 calls of 200 ms.
   */
  private static final long WAITING_VALIDITY_MILLIS = 600;

  /** The time that a refused caller is given if no keeper stated one, in milliseconds. */
  private static final long DEFAULT_RETRY_MILLIS = 200;

  /** Half-life of the measured demand, in milliseconds. */
  private static final double DEMAND_HALF_LIFE_MILLIS = 500;

  /**
   * The share of the demand expected within the validity of a token that is asked for ahead. Below
   * one half, few tokens expire unused when demand ends.
   */
  private static final double AHEAD_SHARE = 0.5;

  private static final int MAX_AHEAD = 100;

  private final Predicate<HostId> answers;
  private final Deque<Batch> held = new ArrayDeque<>();
  private final Deque<Waiting<S>> waiting = new ArrayDeque<>();
  private final Map<HostId, Long> emptyUntil = new HashMap<>();
  private List<HostId> order = List.of();
  private List<HostId> shards = List.of();
  private Optional<QuotaStep.Ask<S>> asking = Optional.empty();
  private double demand;
  private long demandAt;
  private int turn;
  private long granted;
  private long used;
  private long expired;
  private long refused;

  /** Tokens that were granted together. */
  private record Batch(int tokens, long expiresAt) {}

  private static final class Waiting<S> {
    private final S statement;
    private int asked;

    private Waiting(S statement) {
      this.statement = statement;
    }
  }

  /**
   * Numbers of tokens and statements since the start.
   *
   * @param granted tokens granted to this host
   * @param used tokens used by statements
   * @param expired tokens that were not used in time
   * @param refused statements that were refused
   */
  public record Counts(long granted, long used, long expired, long refused) {}

  /**
   * Creates an instance that knows no keepers.
   *
   * @param answers whether a host is taken to answer calls
   * @param turn where this host begins to ask keepers in turn, different for each host
   */
  public QuotaTokens(Predicate<HostId> answers, int turn) {
    this.answers = answers;
    this.turn = turn;
  }

  /**
   * Sets the keepers.
   *
   * @param keepersByShard the keepers in the order of their shards
   * @param keepersByDistance the same hosts in the order in which this host asks them
   */
  public void setKeepers(List<HostId> keepersByShard, List<HostId> keepersByDistance) {
    shards = List.copyOf(keepersByShard);
    order = List.copyOf(keepersByDistance);
    emptyUntil.keySet().retainAll(shards);
  }

  /**
   * A statement arrived that needs a token.
   *
   * @param statement the statement
   * @param now the current time by this host's clock, in milliseconds
   * @return what to do now, in this order
   */
  public List<QuotaStep<S>> onStatement(S statement, long now) {
    List<QuotaStep<S>> steps = new ArrayList<>();
    recordDemand(now);
    expire(now);
    if (waiting.isEmpty() && !held.isEmpty()) {
      takeHeld();
      used++;
      steps.add(new QuotaStep.Run<>(statement));
      askAhead(now, steps);
    } else {
      waiting.add(new Waiting<>(statement));
      proceed(now, steps);
    }
    return steps;
  }

  /**
   * A transaction began, whose first statement will need a token.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return what to do now
   */
  public List<QuotaStep<S>> onTransactionBegun(long now) {
    List<QuotaStep<S>> steps = new ArrayList<>();
    expire(now);
    if (held.isEmpty() && asking.isEmpty()) {
      nextKeeper(now).ifPresent(keeper -> ask(keeper, 1, 0, now, steps));
    }
    return steps;
  }

  /**
   * A keeper answered.
   *
   * @param ask the call
   * @param grantedNow the number of tokens that it granted
   * @param retryAfterMillis if it granted fewer than wanted: when it will have another one
   * @param now the current time by this host's clock, in milliseconds
   * @return what to do now, in this order
   */
  public List<QuotaStep<S>> onReply(
      QuotaStep.Ask<S> ask, int grantedNow, long retryAfterMillis, long now) {
    List<QuotaStep<S>> steps = new ArrayList<>();
    asking = Optional.empty();
    granted += grantedNow;
    if (grantedNow < ask.wanted()) {
      emptyUntil.put(ask.keeper(), now + Math.max(1, retryAfterMillis));
    } else {
      emptyUntil.remove(ask.keeper());
    }
    expire(now);
    int left = grantedNow;
    // Fewer wait if tokens were given back meanwhile.
    int included = Math.min(ask.waiting(), waiting.size());
    if (now - ask.sentAt() <= WAITING_VALIDITY_MILLIS) {
      int served = Math.min(left, included);
      run(served, steps);
      left -= served;
      included -= served;
    }
    if (now - ask.sentAt() < QuotaShards.TOKEN_VALIDITY_MILLIS) {
      int served = Math.min(left, waiting.size());
      run(served, steps);
      left -= served;
      included = Math.max(0, included - served);
      hold(left, ask.sentAt() + QuotaShards.TOKEN_VALIDITY_MILLIS);
    } else {
      expired += left;
    }
    countAsked(included, 1, now, steps);
    proceed(now, steps);
    return steps;
  }

  /**
   * A keeper did not answer in time.
   *
   * @param ask the call
   * @param now the current time by this host's clock, in milliseconds
   * @return what to do now, in this order
   */
  public List<QuotaStep<S>> onUnanswered(QuotaStep.Ask<S> ask, long now) {
    List<QuotaStep<S>> steps = new ArrayList<>();
    asking = Optional.empty();
    expire(now);
    countAsked(Math.min(ask.waiting(), waiting.size()), UNANSWERED_WEIGHT, now, steps);
    proceed(now, steps);
    return steps;
  }

  /**
   * A statement that had taken a token was not run. Another statement may use the token: otherwise
   * statements that are rejected for lack of connections, and their retries, would use up the quota
   * of a workspace that runs less than its limit. Tokens of operations in progress are few beside
   * the tolerance of the rule, so a token given back is valid for the time of a new one.
   *
   * @param now the current time in milliseconds
   * @return what to do next
   */
  public List<QuotaStep<S>> onNotRun(long now) {
    List<QuotaStep<S>> steps = new ArrayList<>();
    expire(now);
    used--;
    if (waiting.isEmpty()) {
      hold(1, now + QuotaShards.TOKEN_VALIDITY_MILLIS);
    } else {
      run(1, steps);
    }
    return steps;
  }

  private void proceed(long now, List<QuotaStep<S>> steps) {
    if (asking.isPresent() || waiting.isEmpty()) {
      return;
    }
    Optional<HostId> keeper = nextKeeper(now);
    if (keeper.isPresent()) {
      ask(keeper.get(), waiting.size() + ahead(now), waiting.size(), now, steps);
    } else {
      while (!waiting.isEmpty()) {
        refuse(waiting.remove(), now, steps);
      }
    }
  }

  private void askAhead(long now, List<QuotaStep<S>> steps) {
    int ahead = ahead(now);
    if (asking.isEmpty() && heldTokens() < ahead / 2) {
      nextKeeper(now).ifPresent(keeper -> ask(keeper, ahead, 0, now, steps));
    }
  }

  private void ask(HostId keeper, int wanted, int forWaiting, long now, List<QuotaStep<S>> steps) {
    QuotaStep.Ask<S> ask =
        new QuotaStep.Ask<>(keeper, shards.indexOf(keeper), wanted, forWaiting, now);
    asking = Optional.of(ask);
    steps.add(ask);
  }

  /**
   * Returns the keeper to ask: for a statement that has not asked yet the nearest one that may have
   * tokens, afterwards any, each in turn. When near keepers are out of tokens, the others near them
   * mostly are as well, because the same hosts ask them first.
   *
   * <p>Keepers that don't answer are asked only if none does: otherwise each statement beyond the
   * limit would wait for them before its refusal.
   */
  private Optional<HostId> nextKeeper(long now) {
    boolean someAnswer = order.stream().anyMatch(answers);
    List<HostId> candidates =
        order.stream()
            .filter(host -> emptyUntil.getOrDefault(host, now) <= now)
            .filter(host -> !someAnswer || answers.test(host))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    boolean first = waiting.isEmpty() || waiting.peek().asked == 0;
    int index = first ? 0 : Math.floorMod(turn++, candidates.size());
    return Optional.of(candidates.get(index));
  }

  private void run(int statements, List<QuotaStep<S>> steps) {
    for (int i = 0; i < statements; i++) {
      used++;
      steps.add(new QuotaStep.Run<>(waiting.remove().statement));
    }
  }

  /** Refuses those of the statements that wait longest for which enough keepers were asked. */
  private void countAsked(int statements, int weight, long now, List<QuotaStep<S>> steps) {
    Deque<Waiting<S>> remaining = new ArrayDeque<>();
    for (int i = 0; i < statements; i++) {
      Waiting<S> statement = waiting.remove();
      statement.asked += weight;
      if (statement.asked >= MAX_ASKED) {
        refuse(statement, now, steps);
      } else {
        remaining.addFirst(statement);
      }
    }
    remaining.forEach(waiting::addFirst);
  }

  private void refuse(Waiting<S> statement, long now, List<QuotaStep<S>> steps) {
    refused++;
    OptionalLong earliest =
        emptyUntil.values().stream().mapToLong(Long::longValue).filter(at -> at > now).min();
    long retryAfterMillis =
        earliest.isPresent() ? earliest.getAsLong() - now : DEFAULT_RETRY_MILLIS;
    steps.add(new QuotaStep.Refuse<>(statement.statement, retryAfterMillis));
  }

  private void hold(int tokens, long expiresAt) {
    if (tokens > 0) {
      held.add(new Batch(tokens, expiresAt));
    }
  }

  private void takeHeld() {
    Batch batch = held.remove();
    if (batch.tokens() > 1) {
      held.addFirst(new Batch(batch.tokens() - 1, batch.expiresAt()));
    }
  }

  private void expire(long now) {
    while (!held.isEmpty() && held.peek().expiresAt() <= now) {
      expired += held.remove().tokens();
    }
  }

  private int heldTokens() {
    return held.stream().mapToInt(Batch::tokens).sum();
  }

  private void recordDemand(long now) {
    demand = demandNow(now) + 1;
    demandAt = now;
  }

  private double demandNow(long now) {
    return demand * Math.pow(2, -(now - demandAt) / DEMAND_HALF_LIFE_MILLIS);
  }

  /** Returns the number of tokens that are probably used while they are valid; 0 for rare use. */
  private int ahead(long now) {
    double perMilli = demandNow(now) * Math.log(2) / DEMAND_HALF_LIFE_MILLIS;
    double tokens = perMilli * QuotaShards.TOKEN_VALIDITY_MILLIS * AHEAD_SHARE;
    return (int) Math.min(tokens, MAX_AHEAD);
  }

  /**
   * Returns the numbers of tokens and statements.
   *
   * @return the numbers since the start
   */
  public Counts counts() {
    return new Counts(granted, used, expired, refused);
  }

  /**
   * Returns the number of statements that wait for a token.
   *
   * @return the number
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Returns the number of tokens that statements may use.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return the number
   */
  public int held(long now) {
    expire(now);
    return heldTokens();
  }
}
