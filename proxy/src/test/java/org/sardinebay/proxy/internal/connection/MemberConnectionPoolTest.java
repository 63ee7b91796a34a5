package org.sardinebay.proxy.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.CallerId;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointClient;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.proxy.internal.process.ProxyIdentity;

class MemberConnectionPoolTest {
  private static final CallerId CALLER = new CallerId("tablet-7");
  private static final long DEADLINE = 10_000;

  private final AtomicLong now = new AtomicLong();
  private final AtomicInteger share = new AtomicInteger(2);
  private final FakeMember member = new FakeMember();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final MemberConnectionPool pool =
      new MemberConnectionPool(
          new MemberId("contracts-1-a"),
          new Address("127.0.0.1", 7000),
          member,
          new ProxyIdentity(new HostId("waco-1"), new FailureDomain("waco-hall")),
          now::get,
          timer,
          (name, detail) -> {
            throw new AssertionError(name + ": " + detail);
          },
          share::get);

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private CompletableFuture<AcquireResult> acquire() {
    return pool.acquire(CALLER, DEADLINE);
  }

  private static ConnectionLease lease(CompletableFuture<AcquireResult> acquired) {
    return ((AcquireResult.Leased) acquired.join()).lease();
  }

  @Nested
  class Sharing {
    @Test
    void should_open_no_more_connections_than_its_share() {
      List<CompletableFuture<AcquireResult>> requested = List.of(acquire(), acquire(), acquire());

      member.openAll();

      assertThat(member.opened).isEqualTo(2);
      assertThat(requested.get(2)).isNotDone();
    }

    @Test
    void should_lease_a_released_connection_to_the_next_waiter() {
      CompletableFuture<AcquireResult> first = acquire();
      CompletableFuture<AcquireResult> second = acquire();
      CompletableFuture<AcquireResult> third = acquire();
      member.openAll();

      lease(first).release(new EndpointReply.Done(List.of(), Position.ZERO, false));

      assertThat(second).isDone();
      assertThat(lease(third).connection()).isEqualTo(lease(first).connection());
    }

    @Test
    void should_close_connections_beyond_a_reduced_share() {
      CompletableFuture<AcquireResult> first = acquire();
      member.openAll();
      lease(first).releaseUnused();

      share.set(0);
      pool.sweep();

      assertThat(member.closed).isEqualTo(1);
    }
  }

  @Nested
  class MissingReplies {
    @Test
    void should_not_reuse_a_connection_whose_reply_is_missing() {
      CompletableFuture<AcquireResult> first = acquire();
      member.openAll();
      String lostConnection = lease(first).connection();

      lease(first).release(new EndpointReply.NoReply());
      CompletableFuture<AcquireResult> next = acquire();
      member.openAll();

      assertThat(lease(next).connection()).isNotEqualTo(lostConnection);
      assertThat(member.closed).isEqualTo(1);
    }

    @Test
    void should_count_a_connection_until_its_close_is_confirmed() {
      member.confirmsClose = false;
      share.set(1);
      CompletableFuture<AcquireResult> first = acquire();
      member.openAll();

      lease(first).discard();
      CompletableFuture<AcquireResult> next = acquire();
      member.openAll();

      assertThat(next).isNotDone();
      assertThat(pool.summary().closing()).isEqualTo(1);
    }
  }

  @Nested
  class Denying {
    @Test
    void should_deny_at_the_deadline() {
      List<CompletableFuture<AcquireResult>> requested = List.of(acquire(), acquire(), acquire());
      member.openAll();

      now.set(DEADLINE);
      pool.sweep();

      assertThat(requested.get(2).join()).isInstanceOf(AcquireResult.Denied.class);
    }

    @Test
    void should_deny_at_once_when_no_connection_can_be_opened() {
      CompletableFuture<AcquireResult> requested = acquire();

      member.refuseAll();

      assertThat(requested.join()).isInstanceOf(AcquireResult.Denied.class);
    }
  }

  /** Replies to open calls when the test asks for it, and to close calls at once. */
  private static final class FakeMember implements EndpointClient {
    private final Deque<CompletableFuture<EndpointReply>> opens = new ArrayDeque<>();
    private int opened;
    private int closed;
    private boolean confirmsClose = true;

    @Override
    public CompletableFuture<EndpointReply> call(
        Address address, EndpointCall call, long timeoutMillis) {
      if (call instanceof EndpointCall.Open) {
        CompletableFuture<EndpointReply> reply = new CompletableFuture<>();
        opens.add(reply);
        return reply;
      }
      closed++;
      EndpointReply reply =
          confirmsClose ? new EndpointReply.Closed() : new EndpointReply.NoReply();
      return CompletableFuture.completedFuture(reply);
    }

    private void openAll() {
      while (!opens.isEmpty()) {
        opened++;
        opens.poll().complete(new EndpointReply.Opened("c-" + opened));
      }
    }

    private void refuseAll() {
      while (!opens.isEmpty()) {
        opens.poll().complete(new EndpointReply.NotSent());
      }
    }
  }
}
