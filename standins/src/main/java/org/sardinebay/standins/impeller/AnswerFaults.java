package org.sardinebay.standins.impeller;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Selects the faults of a member's answers. Thread-safe.
 *
 * <pre>{@code
 * faults.nth(request -> request.kind().equals("READ"), 1, AnswerFault.repeatBeforeNext());
 * }</pre>
 */
final class AnswerFaults {
  private record Rule(
      Predicate<MemberRequest> requests, BooleanSupplier selects, AnswerFault fault) {}

  private final List<Rule> rules = new ArrayList<>();
  private final AtomicInteger repeated = new AtomicInteger();
  private int selected;

  /** Applies a fault to the answer of each request that matches. */
  void each(Predicate<MemberRequest> requests, AnswerFault fault) {
    add(requests, () -> true, fault);
  }

  /** Applies a fault to the {@code n}th request from now on that matches; 1 is the first. */
  void nth(Predicate<MemberRequest> requests, int n, AnswerFault fault) {
    AtomicInteger remaining = new AtomicInteger(n);
    add(requests, () -> remaining.decrementAndGet() == 0, fault);
  }

  /** Applies a fault to a share of the requests that match, in an order that the seed decides. */
  void share(Predicate<MemberRequest> requests, double share, long seed, AnswerFault fault) {
    Random random = new Random(seed);
    add(requests, () -> random.nextDouble() < share, fault);
  }

  private synchronized void add(
      Predicate<MemberRequest> requests, BooleanSupplier selects, AnswerFault fault) {
    rules.add(new Rule(requests, selects, fault));
  }

  /** Returns the faults of the answer to a request. */
  synchronized List<AnswerFault> of(MemberRequest request) {
    List<AnswerFault> faults =
        rules.stream()
            .filter(rule -> rule.requests.test(request) && rule.selects.getAsBoolean())
            .map(Rule::fault)
            .toList();
    selected += faults.size();
    return faults;
  }

  synchronized void clear() {
    rules.clear();
  }

  /** Returns how many faults were selected so far. */
  synchronized int selected() {
    return selected;
  }

  void onRepeated() {
    repeated.incrementAndGet();
  }

  /** Returns how many answers were sent again so far. */
  int repeated() {
    return repeated.get();
  }
}
