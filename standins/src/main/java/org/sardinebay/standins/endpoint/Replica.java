package org.sardinebay.standins.endpoint;

import java.util.Optional;
import org.sardinebay.Address;

/**
 * Takes the primary's entries: one request at a time, so that a late reply can't drop entries that
 * came after it was given.
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
  private long applyDue;

  Replica(MemberState state, Timers timers, Outbox outbox, MemberFaults faults) {
    this.state = state;
    this.timers = timers;
    this.outbox = outbox;
    this.faults = faults;
  }

  /** Starts to follow the primary that the state names. */
  void start(Address address) {
    primaryAddress = Optional.of(address);
    pull();
  }

  /** Asks the same primary at another address from now on. */
  void relocate(Address address) {
    if (!primaryAddress.equals(Optional.of(address))) {
      start(address);
    }
  }

  /** Takes no more entries; replies still to come are void. */
  void stop() {
    primaryAddress = Optional.empty();
    currentPull++;
  }

  void faults(MemberFaults newFaults) {
    faults = newFaults;
    applyWhatIsDue();
  }

  /** Handles the reply to a request; empty if none came. */
  void pulled(long now, long id, Optional<PullReply> reply) {
    if (id != currentPull) {
      return;
    }
    if (reply.isEmpty() || reply.get() instanceof PullReply.Declined) {
      timers.at(now + RETRY_MILLIS, at -> retry(id));
      return;
    }
    timers.at(now + faults.receiveLagMillis(), at -> receive(at, id, reply.get()));
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
    state.matchedPrimary();
    long index = state.log().last().index();
    timers.at(now + faults.applyLagMillis(), at -> apply(index));
  }

  private void truncate(LogOutline primary) {
    if (state.matched()) {
      throw new IllegalStateException("the primary lost entries of its own term");
    }
    long kept = state.log().outline().commonPrefix(primary).index();
    applyDue = Math.min(applyDue, kept);
    state.truncateAfter(kept);
  }

  private void apply(long index) {
    applyDue = Math.max(applyDue, index);
    applyWhatIsDue();
  }

  private void applyWhatIsDue() {
    if (!faults.freezeApply()) {
      state.applyUpTo(applyDue);
    }
  }
}
