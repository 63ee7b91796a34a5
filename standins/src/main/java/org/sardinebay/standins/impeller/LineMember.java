package org.sardinebay.standins.impeller;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
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
  private final AtomicInteger answersToLose = new AtomicInteger();
  private final AtomicLong signatures = new AtomicLong();
  private final MemberRecording recording = new MemberRecording();
  private final AnswerFaults faults = new AnswerFaults();
  private volatile long answerDelayMillis;
  private ServerSocket listener;
  private Future<?> acceptLoop;
  private ExecutorService threads;
  private volatile ScheduledExecutorService timer;

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
    timer = Executors.newSingleThreadScheduledExecutor();
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
      LineReader in = new LineReader(socket.getInputStream());
      AnswerWriter out = new AnswerWriter(socket.getOutputStream(), faults, timer);
      MemberRequest start = MemberRequest.start(in.next().orElse(""));
      String[] words = start.text().split(" ");
      String refusal = refusal(words);
      if (!refusal.isEmpty()) {
        out.send(error(refusal), faults.of(start));
        return;
      }
      LineMemberSession session = new LineMemberSession(id, group, signatures);
      recording.onStart(words[2]);
      if (out.send(session.opened(), faults.of(start))) {
        serveStatements(in, out, session, words[2]);
      }
    } catch (IOException | RejectedExecutionException e) {
      // The peer closed the connection, or the member ends, which ends the session.
    } finally {
      sockets.remove(socket);
    }
  }

  private void serveStatements(
      LineReader in, AnswerWriter out, LineMemberSession session, String startedFor)
      throws IOException {
    for (Optional<String> line = in.next(); line.isPresent(); line = in.next()) {
      if (line.get().equals("BYE")) {
        return;
      }
      Optional<MemberRequest> request = MemberRequest.query(line.get());
      if (request.isEmpty()) {
        out.send(error("MALFORMED"), List.of());
        return;
      }
      out.onRequest(request.get());
      boolean controlStatement = request.get().id().equals("-");
      List<AnswerFault> answerFaults = faults.of(request.get());
      LineAnswer answer = run(session, startedFor, request.get(), answerFaults);
      if (!controlStatement) {
        AnswerWriter.pause(answerDelayMillis);
      }
      if (!controlStatement && answersToLose.get() > 0 && answersToLose.getAndDecrement() > 0) {
        continue;
      }
      if (!out.send(answer, answerFaults)) {
        return;
      }
    }
  }

  private LineAnswer run(
      LineMemberSession session,
      String startedFor,
      MemberRequest request,
      List<AnswerFault> answerFaults) {
    for (AnswerFault fault : answerFaults) {
      if (fault instanceof AnswerFault.Refuse refuse) {
        return session.refuse(refuse.code());
      }
    }
    Optional<String> transaction = session.transaction();
    Map<String, String> values = session.values();
    Optional<String> shape = session.shape(request);
    LineAnswer answer = session.run(request.id(), request.text(), sockets.size());
    recording.onStatement(
        new MemberRecording.RanStatement(
            startedFor, request.id(), request.text(), transaction, values, shape, answer));
    return answer;
  }

  private LineAnswer error(String code) {
    return new LineAnswer(List.of(), "ERR " + code + " " + id, "");
  }

  private String refusal(String[] words) {
    boolean known = words.length >= 3 && words[0].equals("START") && words[1].equals(service);
    if (!known || (words.length > 3 && !words[3].equals(id))) {
      return "WRONGNODE";
    }
    return sockets.size() > maxConnections ? "TOOMANY" : "";
  }

  /** Executes the next {@code count} caller statements without answering them. */
  void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** Delays the answer to each caller statement that was run, in milliseconds. */
  void answerAfter(long millis) {
    answerDelayMillis = millis;
  }

  /** The faults of the answers; there are none unless they are added. */
  AnswerFaults faults() {
    return faults;
  }

  /** The connections that were started and the statements that were run so far. */
  MemberRecording recording() {
    return recording;
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
    timer.shutdownNow();
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
