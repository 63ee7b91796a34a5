package org.sardinebay.net.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.peer.generated.Frame;

/**
 * An RPC client for calls to other processes. Opens one connection per address, on the first call.
 *
 * <pre>{@code
 * PeerClient client = PeerClient.start(AddressTranslation.none(), clock, registry);
 * client.call(address, frame, 300).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>A connection on which a call timed out and nothing was received meanwhile is retired: the next
 * call opens a new connection, and the calls in progress on the old one may still complete.
 */
public final class PeerClient {
  /** The name of the counter of replies that arrive after their call has ended. */
  public static final String DROPPED_ANSWERS = "sardinebay_peer_dropped_answers";

  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  private final EventLoopGroup group;
  private final AddressTranslation translation;
  private final Clock clock;
  private final Counter droppedAnswers;
  private final ConcurrentMap<Address, PeerConnection> connections = new ConcurrentHashMap<>();

  private PeerClient(
      EventLoopGroup group, AddressTranslation translation, Clock clock, MeterRegistry registry) {
    this.group = group;
    this.translation = translation;
    this.clock = clock;
    this.droppedAnswers = registry.counter(DROPPED_ANSWERS);
  }

  /**
   * Starts a client.
   *
   * @param translation the address translation of this host
   * @param clock the clock
   * @param registry the registry of the client's metrics
   * @return the running client
   */
  public static PeerClient start(
      AddressTranslation translation, Clock clock, MeterRegistry registry) {
    return new PeerClient(PeerServer.eventLoops("peer-client"), translation, clock, registry);
  }

  /**
   * Sends one call.
   *
   * @param address the address of the process as given in records and settings
   * @param call the call; the client sets its correlation number
   * @param timeoutMillis the timeout for the reply, connecting included
   * @return the result; never completes with an exception
   */
  public CompletableFuture<PeerResult> call(Address address, Frame call, long timeoutMillis) {
    return connection(address).call(call, timeoutMillis);
  }

  /** Closes all connections. Calls in progress get no reply. */
  public void stop() {
    group
        .shutdownGracefully(0, PeerServer.STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(PeerServer.STOP_TIMEOUT_MILLIS);
  }

  private PeerConnection connection(Address address) {
    PeerConnection current = connections.get(address);
    if (current != null && current.usable()) {
      return current;
    }
    return connections.compute(
        address, (key, other) -> other != null && other.usable() ? other : open(key));
  }

  private PeerConnection open(Address address) {
    PeerConnection connection = new PeerConnection(clock, droppedAnswers);
    connection.attach(
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new FramePipeline(connection::inbound))
            .connect(translation.translate(address).socketAddress()));
    return connection;
  }
}
