package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;

/**
 * One member of a database, without I/O: it is told what arrives and what time it is, and returns
 * what to keep and to send. Used by one thread at a time.
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
   * Creates a member that is fenced until it is told more.
   *
   * @param settings its limits and times
   * @param faults its disturbances
   * @param records what it kept before it was restarted, none for a new one
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

  /** Handles a call; its reply carries the ticket. */
  void call(long now, long ticket, EndpointCall call) {
    if (call instanceof EndpointCall.Execute execute) {
      executor.execute(now, ticket, execute);
    } else if (call instanceof EndpointCall.Progress wanted) {
      progress.progress(now, ticket, wanted);
    } else if (call instanceof EndpointCall.Open open) {
      connections.open(now, ticket, open.client());
    } else {
      outbox.answer(ticket, answerAtOnce(call));
    }
    tick(now);
  }

  /** Handles a replica's request for entries. */
  void pull(long now, long ticket, PullRequest request) {
    feed.pull(now, ticket, request);
    tick(now);
  }

  /** Handles the reply to a request for entries; empty if none came. */
  void pulled(long now, long id, Optional<PullReply> reply) {
    replica.pulled(now, id, reply);
    tick(now);
  }

  void faults(long now, MemberFaults faults) {
    connections.leaving(faults.leaving());
    replica.faults(faults);
    tick(now);
  }

  /** Does what is due. */
  void tick(long now) {
    timers.runDue(now);
    executor.settle(now);
    timers.runDue(now);
    feed.settle();
    progress.settle();
  }

  /** When {@link #tick} is next wanted. */
  OptionalLong nextDueAt() {
    return timers.nextDueAt();
  }

  /** Takes what there is to keep and to send. */
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

  private EndpointReply answerAtOnce(EndpointCall call) {
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
