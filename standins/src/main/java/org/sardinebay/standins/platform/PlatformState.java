package org.sardinebay.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sardinebay.Clock;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformResult;

/**
 * The state of the platform stand-in: objects, watches, host list, rate limits and faults.
 *
 * <pre>{@code
 * PlatformAnswer answer = state.write(key, 0, body);
 * for (ReadyWatch ready : state.readyWatches()) { ... }
 * }</pre>
 *
 * <p>A delayed call takes effect on arrival; only its answer is delayed. Not thread-safe.
 */
final class PlatformState {
  private final Clock clock;
  private final ObjectTable objects = new ObjectTable();
  private final LaggingHostList hosts;
  private final TokenBucket readLimiter;
  private final TokenBucket writeLimiter;
  private final Map<Long, Watch> watches = new TreeMap<>();
  private PlatformFaults faults = PlatformFaults.NONE;
  private PlatformCounters counters = PlatformCounters.ZERO;
  private long lastWatch;

  PlatformState(PlatformSettings settings, Clock clock) {
    this.clock = clock;
    this.hosts = new LaggingHostList(settings.hostListLagMillis(), settings.hosts());
    this.readLimiter = new TokenBucket(settings.readsPerSecond(), clock.millis());
    this.writeLimiter = new TokenBucket(settings.writesPerSecond(), clock.millis());
  }

  PlatformAnswer read(ObjectKey key) {
    Optional<PlatformAnswer> refusal = refusal(readLimiter);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    counters = counters.withRead();
    return known(objects.read(key));
  }

  PlatformAnswer hosts() {
    Optional<PlatformAnswer> refusal = refusal(readLimiter);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    counters = counters.withRead();
    return known(hosts.read(clock.millis()));
  }

  PlatformAnswer write(ObjectKey key, long expectedVersion, ObjectNode body) {
    Optional<PlatformAnswer> refusal = refusal(writeLimiter);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    counters = counters.withWrite();
    return answerToChange(objects.write(key, expectedVersion, body));
  }

  PlatformAnswer delete(ObjectKey key, long expectedVersion) {
    Optional<PlatformAnswer> refusal = refusal(writeLimiter);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    counters = counters.withWrite();
    return answerToChange(objects.delete(key, expectedVersion));
  }

  PlatformAnswer watch(List<String> kinds, long afterRevision, long waitMillis) {
    Optional<PlatformAnswer> refusal = refusal(readLimiter);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    counters = counters.withWatch();
    Watch watch = new Watch(List.copyOf(kinds), afterRevision, clock.millis() + waitMillis);
    if (afterRevision == 0 || ready(watch)) {
      return known(objects.changes(kinds, afterRevision));
    }
    watches.put(++lastWatch, watch);
    return new PlatformAnswer.Waiting(lastWatch);
  }

  /**
   * Removes and returns the watches that end because of a change, their deadline or an outage.
   *
   * @return the watches with their answers
   */
  List<ReadyWatch> readyWatches() {
    List<ReadyWatch> ready = new ArrayList<>();
    for (Map.Entry<Long, Watch> entry : watches.entrySet()) {
      Watch watch = entry.getValue();
      if (faults.outage()) {
        ready.add(new ReadyWatch(entry.getKey(), unavailable()));
      } else if (ready(watch)) {
        PlatformResult listing = objects.changes(watch.kinds(), watch.afterRevision());
        ready.add(new ReadyWatch(entry.getKey(), known(listing)));
      }
    }
    ready.forEach(watch -> watches.remove(watch.watch()));
    return ready;
  }

  void putHost(HostEntry host) {
    hosts.put(host, clock.millis());
  }

  void removeHost(HostEntry host) {
    hosts.remove(host, clock.millis());
  }

  PlatformFaults faults() {
    return faults;
  }

  void changeFaults(PlatformFaults changed) {
    faults = changed;
  }

  PlatformCounters counters() {
    return counters;
  }

  long revision() {
    return objects.revision();
  }

  int waitingWatches() {
    return watches.size();
  }

  private boolean ready(Watch watch) {
    return clock.millis() >= watch.deadline()
        || objects.changed(watch.kinds(), watch.afterRevision());
  }

  private PlatformAnswer answerToChange(PlatformResult result) {
    boolean tookEffect = result instanceof PlatformResult.Found;
    if (tookEffect && faults.loseAnswers() > 0) {
      faults = faults.withOneAnswerLost();
      return new PlatformAnswer.Lost();
    }
    return known(result);
  }

  private Optional<PlatformAnswer> refusal(TokenBucket limiter) {
    if (faults.outage()) {
      return Optional.of(unavailable());
    }
    if (!limiter.tryTake(clock.millis())) {
      counters = counters.withRefusal();
      return Optional.of(known(new PlatformResult.Failed(PlatformFailure.RATE_LIMITED)));
    }
    return Optional.empty();
  }

  private static PlatformAnswer.Known unavailable() {
    return new PlatformAnswer.Known(new PlatformResult.Failed(PlatformFailure.UNAVAILABLE), 0);
  }

  private PlatformAnswer.Known known(PlatformResult result) {
    return new PlatformAnswer.Known(result, faults.delayMillis());
  }

  private record Watch(List<String> kinds, long afterRevision, long deadline) {}
}
