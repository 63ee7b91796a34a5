package org.sardinebay.gateway.internal.connection;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection that exchanges lines of text. Each byte is mapped to one character (ISO-8859-1), so
 * bytes pass unchanged. See {@link LineFraming} for the end of a line.
 *
 * <pre>{@code
 * LineChannel channel = new LineChannel(socket, maxLineBytes, listener);
 * channel.start();
 * channel.send("BYE");
 * }</pre>
 *
 * <p>Reading pauses while more than one line of the maximum length waits to be sent, so that a peer
 * that sends without reading the answers can't fill the memory.
 *
 * <p>Must be used on the thread of its event loop only.
 */
public final class LineChannel {
  private static final Logger LOG = LoggerFactory.getLogger(LineChannel.class);

  /** How long a closed channel waits for a peer that doesn't read, in milliseconds. */
  private static final long UNSENT_TIMEOUT_MILLIS = 10_000;

  /** Receives the lines and the end of the connection. */
  public interface Listener {
    /**
     * Called for each line received.
     *
     * @param line the line without its terminator
     */
    void onLine(String line);

    /** Called when a line exceeds the maximum length; the listener has to close the channel. */
    void onTooLong();

    /** Called last, when the connection has ended. Not called after {@link LineChannel#close()}. */
    void onClosed();
  }

  private final TcpSocket socket;
  private final int maxLineBytes;
  private final Listener listener;
  private final LineFraming framing;
  private int unsentBytes;
  private boolean readingPaused;
  private boolean closed;

  /**
   * Wraps a socket.
   *
   * @param socket the connected socket
   * @param maxLineBytes the maximum length of a line, including the terminator
   * @param listener receives the lines
   */
  public LineChannel(TcpSocket socket, int maxLineBytes, Listener listener) {
    this.socket = socket;
    this.maxLineBytes = maxLineBytes;
    this.listener = listener;
    this.framing = new LineFraming(maxLineBytes);
  }

  /** Starts reading. */
  public void start() {
    readNext();
  }

  /**
   * Sends lines in one write. If one of them holds a terminator, none is sent and the connection is
   * closed: the peer would take the rest of that line for a message.
   *
   * @param lines the lines without terminators
   */
  public void send(String... lines) {
    if (closed) {
      return;
    }
    Optional<byte[]> bytes = LineFraming.encode(lines);
    if (bytes.isPresent()) {
      write(bytes.get());
    } else {
      LOG.atError()
          .setMessage("line_not_sent")
          .addKeyValue("cause", "the text holds a line terminator")
          .log();
      onSocketClosed();
    }
  }

  private void write(byte[] bytes) {
    unsentBytes += bytes.length;
    socket
        .write(ByteBuf.wrapForReading(bytes))
        .whenResult(() -> onSent(bytes.length))
        .whenException(e -> onSocketClosed());
  }

  private void onSent(int bytes) {
    unsentBytes -= bytes;
    if (closed) {
      closeIfSent();
    } else if (readingPaused && unsentBytes <= maxLineBytes) {
      readingPaused = false;
      readNext();
    }
  }

  /** Whether a part of a line has been received. */
  boolean hasPartialLine() {
    return framing.hasPartialLine();
  }

  /** Closes the connection as soon as the data already sent is on its way. */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    closeIfSent();
    if (unsentBytes > 0) {
      socket.getReactor().delayBackground(UNSENT_TIMEOUT_MILLIS, socket::close);
    }
  }

  private void closeIfSent() {
    if (unsentBytes == 0) {
      socket.close();
    }
  }

  /** Closes the connection and discards the data in transit in both directions. */
  public void reset() {
    if (!closed) {
      try {
        socket.getSocketChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        LOG.atDebug().setMessage("linger_not_set").addKeyValue("cause", e.getMessage()).log();
      }
      closed = true;
      socket.close();
    }
  }

  boolean closed() {
    return closed;
  }

  private void readNext() {
    while (!closed) {
      if (unsentBytes > maxLineBytes) {
        readingPaused = true;
        return;
      }
      var read = socket.read();
      if (!read.isComplete()) {
        read.whenComplete(
            (bytes, e) -> {
              if (onRead(Optional.ofNullable(bytes))) {
                readNext();
              }
            });
        return;
      }
      if (!onRead(Optional.ofNullable(read.isResult() ? read.getResult() : null))) {
        return;
      }
    }
  }

  /** Returns whether to continue reading. */
  private boolean onRead(Optional<ByteBuf> bytes) {
    if (closed) {
      bytes.ifPresent(ByteBuf::recycle);
      return false;
    }
    if (bytes.isEmpty()) {
      onSocketClosed();
      return false;
    }
    ByteBuf received = bytes.get();
    framing.append(received.array(), received.head(), received.readRemaining());
    received.recycle();
    return deliverLines();
  }

  private boolean deliverLines() {
    Optional<String> line = framing.next();
    while (line.isPresent()) {
      deliver(line.get());
      line = closed ? Optional.empty() : framing.next();
    }
    if (!closed && framing.tooLong()) {
      listener.onTooLong();
    }
    return !closed;
  }

  /**
   * Delivers a line. If the listener fails, the connection is closed: its state is unknown, and
   * reading would stop without anybody noticing.
   */
  private void deliver(String line) {
    try {
      listener.onLine(line);
    } catch (RuntimeException e) {
      LOG.atError().setMessage("line_not_handled").setCause(e).log();
      onSocketClosed();
    }
  }

  private void onSocketClosed() {
    if (!closed) {
      closed = true;
      socket.close();
      listener.onClosed();
    }
  }
}
