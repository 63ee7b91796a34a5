package org.sardinebay.standins.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;

/**
 * A listening port whose connections are forwarded to one target. Mutable state is changed only by
 * one event loop.
 */
final class Link {
  private final LinkSettings settings;
  private final EventLoop loop;
  private final Set<RelayedConnection> connections = new HashSet<>();
  private final LongAdder bytes = new LongAdder();
  private final LongAdder messages = new LongAdder();
  private volatile Cut cut = Cut.NONE;
  private volatile long delayMillis;

  private Link(LinkSettings settings, EventLoop loop) {
    this.settings = settings;
    this.loop = loop;
    this.delayMillis = settings.delayMillis();
  }

  static Link open(LinkSettings settings, EventLoop loop) throws IOException {
    Link link = new Link(settings, loop);
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    link.accept(accepted);
                  }
                })
            .bind(settings.listen().socketAddress())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("can't bind " + settings.listen(), bound.cause());
    }
    return link;
  }

  String source() {
    return settings.source();
  }

  String target() {
    return settings.target();
  }

  Cut cut() {
    return cut;
  }

  long delayMillis() {
    return delayMillis;
  }

  /** Changes the link; the result completes once the change is in force. */
  CompletableFuture<Void> change(Cut newCut, OptionalLong newDelayMillis) {
    return CompletableFuture.runAsync(
        () -> {
          cut = newCut;
          newDelayMillis.ifPresent(millis -> delayMillis = millis);
          Set.copyOf(connections).forEach(RelayedConnection::linkChanged);
        },
        loop);
  }

  /**
   * Drops all later bytes of the connections that are open now; the result completes once this is
   * in force.
   */
  CompletableFuture<Void> silenceOpenConnections() {
    return CompletableFuture.runAsync(
        () -> Set.copyOf(connections).forEach(RelayedConnection::silence), loop);
  }

  JsonNode dump() {
    return Json.newObject()
        .put("source", settings.source())
        .put("target", settings.target())
        .put("listen", settings.listen().toString())
        .put("forward", settings.forward().toString())
        .put("cut", FieldReader.jsonName(cut))
        .put("delayMillis", delayMillis)
        .put("bytes", bytes.sum())
        .put("messages", messages.sum());
  }

  /** Counts one read: its bytes in either direction, and one message if it is to the target. */
  void countRead(Flow flow, int count) {
    bytes.add(count);
    if (flow == Flow.TO_TARGET && count > 0) {
      messages.increment();
    }
  }

  void closed(RelayedConnection connection) {
    connections.remove(connection);
  }

  private void accept(Channel accepted) {
    RelayedConnection connection = new RelayedConnection(this, accepted, settings.forward());
    connections.add(connection);
    connection.start();
  }
}
