package org.sardinebay.standins.impeller;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.sardinebay.Address;

/** A member that serves the line protocol, with one thread per connection. */
public final class LineMember implements AutoCloseable {
  private static final long ACCEPT_END_TIMEOUT_SECONDS = 5;

  private final String id;
  private final String service;
  private final Address address;
  private final MemberGroup group;
  private volatile int maxConnections;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Queue<Ran> ran = new ConcurrentLinkedQueue<>();
  private final AtomicInteger answersToLose = new AtomicInteger();
  private ServerSocket listener;
  private Future<?> acceptLoop;
  private ExecutorService threads;

  /** A caller's statement that ran, and the second word of its connection's START message. */
  record Ran(String user, String text) {}

  LineMember(String id, String service, Address address, MemberGroup group, int maxConnections) {
    this.id = id;
    this.service = service;
    this.address = address;
    this.group = group;
    this.maxConnections = maxConnections;
  }

  String id() {
    return id;
  }

  Address address() {
    return address;
  }

  void start() throws IOException {
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(address.socketAddress());
    threads = Executors.newCachedThreadPool();
    group.running(id, true);
    ServerSocket accepting = listener;
    ExecutorService serving = threads;
    acceptLoop = serving.submit(() -> accept(accepting, serving));
  }

  private void accept(ServerSocket accepting, ExecutorService serving) {
    while (true) {
      try {
        Socket socket = accepting.accept();
        sockets.add(socket);
        serving.execute(() -> serve(socket));
      } catch (IOException | RejectedExecutionException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      Writer out = new OutputStreamWriter(socket.getOutputStream(), StandardCharsets.ISO_8859_1);
      String start = in.readLine();
      String refusal = refusal(start);
      if (!refusal.isEmpty()) {
        send(out, "ERR " + refusal + " " + id + "\r\n");
        return;
      }
      send(out, "READY I " + group.position(id) + "\r\n");
      String user = start.split(" ", 4)[2];
      serveStatements(in, out, user, new LineMemberSession(id, group));
    } catch (IOException e) {
      // The peer closed the connection, which ends the session.
    } finally {
      sockets.remove(socket);
    }
  }

  private void serveStatements(
      BufferedReader in, Writer out, String user, LineMemberSession session) throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.equals("BYE")) {
        return;
      }
      String[] parts = line.split(" ", 3);
      boolean controlStatement = parts[1].equals("-");
      if (!controlStatement) {
        ran.add(new Ran(user, parts[2]));
      }
      String reply = session.run(parts[2], sockets.size());
      if (!controlStatement && answersToLose.get() > 0 && answersToLose.getAndDecrement() > 0) {
        continue;
      }
      send(out, reply);
    }
  }

  private String refusal(String start) {
    String[] words = start == null ? new String[0] : start.split(" ");
    boolean known = words.length >= 3 && words[0].equals("START") && words[1].equals(service);
    if (!known || (words.length > 3 && !words[3].equals(id))) {
      return "WRONGNODE";
    }
    return sockets.size() > maxConnections ? "TOOMANY" : "";
  }

  private static void send(Writer out, String text) throws IOException {
    out.write(text);
    out.flush();
  }

  /** Executes the next {@code count} caller statements without answering them. */
  void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** Returns the callers' statements that ran since the start, in order. */
  List<Ran> ran() {
    return List.copyOf(ran);
  }

  /** Changes how many connections are accepted; those that are open stay. */
  void limitConnections(int limit) {
    maxConnections = limit;
  }

  int connections() {
    return sockets.size();
  }

  /** Simulates a crash of the process: closes all connections and keeps the log. */
  void crash() throws IOException {
    group.running(id, false);
    close();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    awaitAcceptEnd();
    for (Socket socket : sockets) {
      socket.close();
    }
    threads.shutdownNow();
  }

  /**
   * Waits until the accepting thread has noticed that its socket is closed. Until then the address
   * stays in use.
   */
  private void awaitAcceptEnd() throws IOException {
    try {
      acceptLoop.get(ACCEPT_END_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("member " + id + " is still listening at " + address, e);
    }
  }
}
