package org.sardinebay.standins.impeller;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.sardinebay.Address;

/** A client of the line protocol, as callers use it. */
final class LineCaller implements AutoCloseable {
  /** The key that is sent unless another one is given. */
  static final String DEFAULT_KEY = "test";

  private static final int READ_TIMEOUT_MILLIS = 15_000;

  private static final AtomicLong CALLERS = new AtomicLong();

  private final long number = CALLERS.incrementAndGet();
  private final Socket socket;
  private final LineReader in;
  private int requests;

  LineCaller(Address gateway) throws IOException {
    socket = new Socket(gateway.host(), gateway.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    in = new LineReader(socket.getInputStream());
  }

  static LineCaller open(Address gateway, String database) throws IOException {
    return open(gateway, database, DEFAULT_KEY);
  }

  static LineCaller open(Address gateway, String database, String key) throws IOException {
    LineCaller caller = new LineCaller(gateway);
    caller.send("START " + database + " " + key + "\r\n");
    String ready = caller.readLine();
    if (ready == null || !ready.startsWith("READY I")) {
      caller.close();
      throw new IOException("session was not started: " + ready);
    }
    return caller;
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Returns the next line, null at the end of the connection. */
  String readLine() throws IOException {
    return in.next().orElse(null);
  }

  /**
   * Runs a statement and returns all lines of the answer. The last line is the READY line, or
   * "closed" if the connection was closed before it.
   */
  List<String> query(String statement) throws IOException {
    requests++;
    send("QUERY " + lastRequestId() + " " + statement + "\r\n");
    List<String> lines = new ArrayList<>();
    for (String line = readLine(); line != null; line = readLine()) {
      lines.add(line);
      if (line.startsWith("READY")) {
        return lines;
      }
    }
    lines.add("closed");
    return lines;
  }

  /** Returns the id of the last request; those of all callers differ. */
  String lastRequestId() {
    return "q" + number + "-" + requests;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
