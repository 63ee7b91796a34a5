package org.sardinebay.standins.impeller;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.sardinebay.Address;

/** A client of the line protocol, as callers use it. */
final class LineCaller implements AutoCloseable {
  /** The key that is sent unless another one is given. */
  static final String DEFAULT_KEY = "test";

  private static final int READ_TIMEOUT_MILLIS = 15_000;

  private final Socket socket;
  private final BufferedReader in;
  private int requests;

  LineCaller(Address gateway) throws IOException {
    socket = new Socket(gateway.host(), gateway.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
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

  String readLine() throws IOException {
    return in.readLine();
  }

  /**
   * Runs a statement and returns all lines of the answer. The last line is the READY line, or
   * "closed" if the connection was closed before it.
   */
  List<String> query(String statement) throws IOException {
    send("QUERY q" + requests++ + " " + statement + "\r\n");
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

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
