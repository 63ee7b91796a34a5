package org.sardinebay.net.peer;

import io.micrometer.core.instrument.Counter;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Clock;
import org.sardinebay.net.peer.generated.Frame;

/**
 * One connection of a {@link PeerClient}.
 *
 * <p>The calls in progress are accessed only on the connection's event loop.
 */
final class PeerConnection {
  /** A configuration call that times out does not retire a connection younger than this. */
  private static final long MIN_AGE_TO_RETIRE_MILLIS = 1_000;

  /** Time between two checks whether a long reply still makes progress, in milliseconds. */
  private static final long PROGRESS_CHECK_MILLIS = 500;

  /** How much must arrive from one check to the next, in bytes. */
  private static final int MIN_PROGRESS_BYTES = 8 << 10;

  private final Clock clock;
  private final Counter droppedAnswers;
  private final long openedAtMillis;
  private final Map<Long, PendingCall> calls = new HashMap<>();
  private FrameDecoder decoder;
  private ChannelFuture connecting;
  private long lastCorrelation;
  private long lastReceivedAtMillis;
  private volatile boolean retired;

  PeerConnection(Clock clock, Counter droppedAnswers) {
    this.clock = clock;
    this.droppedAnswers = droppedAnswers;
    this.openedAtMillis = clock.millis();
    this.lastReceivedAtMillis = openedAtMillis;
  }

  /** Must be called once, before the first call. */
  void attach(ChannelFuture future) {
    connecting = future;
    future.addListener(done -> connected(done.isSuccess()));
    future.channel().closeFuture().addListener(closed -> failAll());
  }

  /** Returns whether new calls may use this connection. */
  boolean usable() {
    return !retired;
  }

  CompletableFuture<PeerResult> call(Frame frame, long timeoutMillis) {
    PendingCall pending = new PendingCall(frame, new CompletableFuture<>());
    channel().eventLoop().execute(() -> start(pending, timeoutMillis));
    return pending.result;
  }

  ChannelHandler inbound(FrameDecoder frameDecoder) {
    decoder = frameDecoder;
    return new Inbound();
  }

  private Channel channel() {
    return connecting.channel();
  }

  private void start(PendingCall pending, long timeoutMillis) {
    if (connecting.isDone() && !channel().isActive()) {
      retired = true;
      pending.result.complete(new PeerResult.NotSent());
      return;
    }
    long correlation = ++lastCorrelation;
    calls.put(correlation, pending);
    scheduleExpiry(correlation, pending, timeoutMillis);
    if (connecting.isDone()) {
      write(correlation, pending);
    }
  }

  private void scheduleExpiry(long correlation, PendingCall pending, long delayMillis) {
    pending.expiry =
        channel()
            .eventLoop()
            .schedule(() -> expire(correlation), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void connected(boolean success) {
    if (success) {
      calls.forEach(this::write);
    } else {
      failAll();
    }
  }

  private void write(long correlation, PendingCall pending) {
    if (pending.sent) {
      return;
    }
    pending.sent = true;
    pending.sentAtMillis = clock.millis();
    pending.receivedBytes = decoder.receivedBytes();
    Frame frame = pending.frame.toBuilder().setCorrelation(correlation).build();
    ChannelFuture unused = channel().writeAndFlush(frame, channel().voidPromise());
  }

  private void expire(long correlation) {
    PendingCall pending = calls.get(correlation);
    if (pending == null) {
      return;
    }
    if (receivesReply(pending)) {
      pending.receivedBytes = decoder.receivedBytes();
      scheduleExpiry(correlation, pending, PROGRESS_CHECK_MILLIS);
      return;
    }
    calls.remove(correlation);
    if (shouldRetireAfter(pending)) {
      retired = true;
    }
    closeIfDrained();
    pending.result.complete(pending.failure());
  }

  /**
   * Returns whether a reply with records may be under way. They may be large, and the link slow: a
   * call that is given up would have them sent again.
   */
  private boolean receivesReply(PendingCall pending) {
    return pending.frame.hasConfigCall()
        && pending.sent
        && decoder.withinFrame()
        && decoder.receivedBytes() - pending.receivedBytes >= MIN_PROGRESS_BYTES;
  }

  private boolean shouldRetireAfter(PendingCall pending) {
    boolean silent = pending.sent && lastReceivedAtMillis <= pending.sentAtMillis;
    boolean young = clock.millis() - openedAtMillis < MIN_AGE_TO_RETIRE_MILLIS;
    return silent && !(pending.frame.hasConfigCall() && young);
  }

  private void received(Frame frame) {
    lastReceivedAtMillis = clock.millis();
    PendingCall pending = calls.remove(frame.getCorrelation());
    if (pending == null) {
      droppedAnswers.increment();
      return;
    }
    pending.expiry.cancel(false);
    closeIfDrained();
    pending.result.complete(new PeerResult.Reply(frame));
  }

  private void closeIfDrained() {
    if (retired && calls.isEmpty()) {
      ChannelFuture unused = channel().close();
    }
  }

  private void failAll() {
    retired = true;
    List<PendingCall> failed = List.copyOf(calls.values());
    calls.clear();
    failed.forEach(
        pending -> {
          pending.expiry.cancel(false);
          pending.result.complete(pending.failure());
        });
  }

  /** A call that waits for its reply. */
  private static final class PendingCall {
    private final Frame frame;
    private final CompletableFuture<PeerResult> result;
    private boolean sent;
    private long sentAtMillis;
    private long receivedBytes;
    private Future<?> expiry;

    PendingCall(Frame frame, CompletableFuture<PeerResult> result) {
      this.frame = frame;
      this.result = result;
    }

    PeerResult failure() {
      return sent ? new PeerResult.NoReply() : new PeerResult.NotSent();
    }
  }

  /** Passes received frames to the connection. */
  private final class Inbound extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
      received(frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ChannelFuture unused = context.close();
    }
  }
}
