package org.sardinebay.standins.endpoint;

import java.util.Optional;
import org.sardinebay.Address;

/**
 * Pulls log entries from the primary. Only one request is outstanding at a time, so that a delayed
 * reply can't truncate entries that were received after the reply was sent.
 */
final class Replica {
  private static final long PULL_WAIT_MILLIS = 500;
  private static final long RETRY_MILLIS = 50;

  private final MemberState state;
  private final Timers timers;
  private final Outbox outbox;
  private MemberFaults faults;
  private Optional<Address> primaryAddress = Optional.empty();
  private long currentPull;
  private long applyUpToIndex;

  Replica(MemberState state, Timers timers, Outbox outbox, MemberFaults faults) {
    this.state = state;
    this.timers = timers;
    this.outbox = outbox;
    this.faults = faults;
  }

  /** Starts replication from the current primary at the given address. */
  void start(Address address) {
    primaryAddress = Optional.of(address);
    pull();
  }

  /** Restarts replication at the given address if the address of the primary has changed. */
  void relocate(Address address) {
    if (!primaryAddress.equals(Optional.of(address))) {
      start(address);
    }
  }

  /** Stops replication; replies that are still outstanding are ignored. */
  void stop() {
    primaryAddress = Optional.empty();
    currentPull++;
  }

  void faults(MemberFaults newFaults) {
    faults = newFaults;
    applyDueEntries();
  }

  /** Handles the reply to a request; empty if there was no reply. */
  void pulled(long now, long id, Optional<PullReply> reply) {
    if (id != currentPull) {
      return;
    }
    if (reply.isEmpty() || reply.get() instanceof PullReply.Declined) {
      timers.schedule(now + RETRY_MILLIS, at -> retry(id));
      return;
    }
    timers.schedule(now + faults.receiveLagMillis(), at -> receive(at, id, reply.get()));
  }

  private void retry(long id) {
    if (id == currentPull) {
      pull();
    }
  }

  private void pull() {
    currentPull++;
    long waitMillis = state.synced() ? PULL_WAIT_MILLIS : 0;
    PullRequest request =
        new PullRequest(
            state.term(), state.primary().orElseThrow(), state.log().last(), waitMillis);
    outbox.pull(currentPull, primaryAddress.orElseThrow(), request);
  }

  private void receive(long now, long id, PullReply reply) {
    if (id != currentPull) {
      return;
    }
    if (reply instanceof PullReply.Entries entries) {
      receive(now, entries);
    } else if (reply instanceof PullReply.Diverged diverged) {
      truncate(diverged.outline());
    }
    pull();
  }

  private void receive(long now, PullReply.Entries batch) {
    batch.entries().forEach(state::append);
    state.markMatched();
    long index = state.log().last().index();
    timers.schedule(now + faults.applyLagMillis(), at -> apply(index));
  }

  private void truncate(LogOutline primary) {
    if (state.matched()) {
      throw new IllegalStateException("the primary lost entries of its current term");
    }
    long commonIndex = state.log().outline().commonPrefix(primary).index();
    applyUpToIndex = Math.min(applyUpToIndex, commonIndex);
    state.truncateAfter(commonIndex);
  }

  private void apply(long index) {
    applyUpToIndex = Math.max(applyUpToIndex, index);
    applyDueEntries();
  }

  private void applyDueEntries() {
    if (!faults.freezeApply()) {
      state.applyUpTo(applyUpToIndex);
    }
  }
}
