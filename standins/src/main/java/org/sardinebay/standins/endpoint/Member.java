package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;

/**
 * The state machine of one database member, without I/O. Its methods take the events and the
 * current time in milliseconds; {@link #drain} returns the records to persist and the messages to
 * send. Not thread-safe.
 *
 * <pre>{@code
 * member.call(now, ticket, new EndpointCall.Open("proxy-1"));
 * MemberOutput output = member.drain();
 * member.nextDueAt().ifPresent(at -> ...); // then member.tick(at)
 * }</pre>
 */
final class Member {
  private final Timers timers = new Timers();
  private final Outbox outbox = new Outbox();
  private final MemberState state;
  private final Connections connections;
  private final Executor executor;
  private final Replica replica;
  private final PrimaryFeed feed;
  private final ProgressWaiters progress;
  private final TermControl control;

  /**
   * Creates a member. It is fenced until it is promoted or told to follow a primary.
   *
   * @param settings the limits and timings
   * @param faults the faults to simulate
   * @param records the journal records from before a restart; empty for a new member
   */
  Member(MemberSettings settings, MemberFaults faults, List<JournalRecord> records) {
    state = new MemberState(settings.member(), outbox);
    state.restore(records);
    connections = new Connections(settings, state, timers, outbox);
    connections.leaving(faults.leaving());
    executor = new Executor(settings, state, connections, timers, outbox);
    replica = new Replica(state, timers, outbox, faults);
    feed = new PrimaryFeed(state, timers, outbox, settings.pullBatch());
    progress = new ProgressWaiters(state, connections, timers, outbox);
    control = new TermControl(state, replica, connections);
  }

  /** Handles a call. Its reply has the same ticket. */
  void call(long now, long ticket, EndpointCall call) {
    if (call instanceof EndpointCall.Execute execute) {
      executor.execute(now, ticket, execute);
    } else if (call instanceof EndpointCall.Progress progressCall) {
      progress.progress(now, ticket, progressCall);
    } else if (call instanceof EndpointCall.Open open) {
      connections.open(now, ticket, open.client());
    } else {
      outbox.answer(ticket, answerImmediately(call));
    }
    tick(now);
  }

  /** Handles a replica's request for entries. */
  void pull(long now, long ticket, PullRequest request) {
    feed.pull(now, ticket, request);
    tick(now);
  }

  /** Handles the reply to a request for entries; empty if there was no reply. */
  void pulled(long now, long id, Optional<PullReply> reply) {
    replica.pulled(now, id, reply);
    tick(now);
  }

  void faults(long now, MemberFaults faults) {
    connections.leaving(faults.leaving());
    replica.faults(faults);
    tick(now);
  }

  /** Runs the timers that are due and answers the calls whose wait is over. */
  void tick(long now) {
    timers.runDue(now);
    executor.startReadyReads(now);
    timers.runDue(now);
    feed.answerReady();
    progress.answerReady();
  }

  /** Returns the time at which {@link #tick} has to be called next; empty if no timer is set. */
  OptionalLong nextDueAt() {
    return timers.nextDueAt();
  }

  /** Returns and removes the records to persist and the messages to send. */
  MemberOutput drain() {
    return outbox.drain();
  }

  MemberState state() {
    return state;
  }

  Connections connections() {
    return connections;
  }

  Executor executor() {
    return executor;
  }

  EndpointReply.Standing standing() {
    return progress.standing();
  }

  private EndpointReply answerImmediately(EndpointCall call) {
    if (call instanceof EndpointCall.Close close) {
      return connections.close(close.connection());
    }
    if (call instanceof EndpointCall.Fence fence) {
      return control.fence(fence);
    }
    if (call instanceof EndpointCall.Promote promote) {
      return control.promote(promote);
    }
    return control.follow((EndpointCall.Follow) call);
  }
}
