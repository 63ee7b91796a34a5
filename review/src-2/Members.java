import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * A replicated database service that follows PROTOCOL.md: members with a log each, asynchronous
 * replication, fences, demotion and promotion.
 */
final class Members {
  /** One committed write. */
  record Entry(long term, long number, String id, String item, String data, long at) {}

  /** One statement that a member ran. */
  record Run(
      long at, String member, String who, String id, String text, String outcome, long term,
      long number) {}

  final class Member {
    final String id;
    final String zone;
    final List<Entry> log = new ArrayList<>();
    final List<Long> visibleAt = new ArrayList<>();
    ServerSocket listener;
    int port;
    boolean running;
    boolean leads;
    long term = 1;
    long fence;
    long seq;
    long born = System.currentTimeMillis();
    String state = "ready";
    long lagMillis = 20;
    long reachesNewerSince = -1;
    final Map<Session, Boolean> sessions = new ConcurrentHashMap<>();

    Member(String id, String zone) {
      this.id = id;
      this.zone = zone;
    }

    int applied() {
      if (leads) {
        return log.size();
      }
      long now = System.currentTimeMillis();
      int n = log.size();
      while (n > 0 && visibleAt.get(n - 1) > now) {
        n--;
      }
      return n;
    }

    String position(int count) {
      return count == 0 ? term + ".0" : log.get(count - 1).term() + "." + log.get(count - 1).number();
    }
  }

  final String service;
  final int maxConnections;
  final long promoteMillis;
  final Map<String, Member> members = new LinkedHashMap<>();
  final List<Run> runs = new ArrayList<>();
  final List<String> events = new ArrayList<>();

  /** A promotion that took effect, with the last position that the new primary had received. */
  record Promotion(String member, long term, long baseTerm, long baseNumber, long at) {}

  final List<Promotion> promotions = new ArrayList<>();

  /** Whether a promotion left out a commit. */
  boolean isRolledBack(long term, long number) {
    return promotions.stream()
        .anyMatch(
            p ->
                term < p.term()
                    && (term > p.baseTerm() || (term == p.baseTerm() && number > p.baseNumber())));
  }

  /** Whether the first may send to the second; names are members, gateways, "store", "cloud". */
  BiPredicate<String, String> reaches = (a, b) -> true;

  /** Whether an attempt from the first to the second is answered with a reset. */
  BiPredicate<String, String> resets = (a, b) -> false;

  /** Delay of a signed answer at a member, by statement text. */
  volatile long workMillis = 3;

  private long signatures;

  Members(String service, int maxConnections, long promoteMillis) {
    this.service = service;
    this.maxConnections = maxConnections;
    this.promoteMillis = promoteMillis;
  }

  synchronized Member add(String id, String zone, boolean leads) throws IOException {
    Member member = new Member(id, zone);
    member.leads = leads;
    members.put(id, member);
    start(member);
    return member;
  }

  void start(Member member) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), member.port), 256);
    synchronized (this) {
      member.port = socket.getLocalPort();
      member.listener = socket;
      member.running = true;
      member.fence = 0;
    }
    World.thread(() -> accept(member, socket));
  }

  /** Ends the member's process: its connections are reset and its fence is gone. */
  void crash(Member member) throws IOException {
    synchronized (this) {
      member.running = false;
      member.fence = 0;
      event("crash " + member.id);
    }
    member.listener.close();
    for (Session session : member.sessions.keySet()) {
      session.reset();
    }
    member.sessions.clear();
  }

  private void accept(Member member, ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        Socket accepted = socket.accept();
        accepted.setTcpNoDelay(true);
        Session session = new Session(member, accepted);
        member.sessions.put(session, true);
        World.thread(session::serve);
      } catch (IOException e) {
        return;
      }
    }
  }

  void event(String text) {
    synchronized (events) {
      events.add(System.currentTimeMillis() + " " + text);
    }
  }

  /** Replicates and lets a replaced primary follow; called every few milliseconds. */
  synchronized void tick(long now) {
    for (Member replica : members.values()) {
      if (!replica.running) {
        continue;
      }
      Member source = null;
      for (Member other : members.values()) {
        boolean usable =
            other != replica && other.running && other.leads
                && reaches.test(other.id, replica.id) && reaches.test(replica.id, other.id);
        if (usable && (source == null || other.term > source.term)) {
          source = other;
        }
      }
      if (source == null || source.term < replica.term) {
        replica.reachesNewerSince = -1;
        continue;
      }
      if (replica.leads) {
        if (source.term > replica.term) {
          if (replica.reachesNewerSince < 0) {
            replica.reachesNewerSince = now;
          } else if (now - replica.reachesNewerSince >= 1_000) {
            replica.leads = false;
            event("old primary follows " + replica.id);
          }
        }
        continue;
      }
      if (replica.fence != 0) {
        continue;
      }
      int common = 0;
      while (common < replica.log.size() && common < source.log.size()
          && replica.log.get(common).equals(source.log.get(common))) {
        common++;
      }
      while (replica.log.size() > common) {
        replica.log.remove(replica.log.size() - 1);
        replica.visibleAt.remove(replica.visibleAt.size() - 1);
      }
      for (int i = common; i < source.log.size(); i++) {
        replica.log.add(source.log.get(i));
        replica.visibleAt.add(now + replica.lagMillis);
      }
      replica.term = source.term;
    }
  }

  /** Handles POST /promote; returns the HTTP status. */
  int promote(String id, String holder, String token) {
    Member target;
    synchronized (this) {
      target = members.get(id);
      event("promote " + id + " by " + holder + " token " + token);
      if (target == null || !target.running || !reaches.test("cloud", id)) {
        return 409;
      }
      if (target.leads) {
        return 200;
      }
    }
    World.thread(
        () -> {
          World.sleep(promoteMillis);
          synchronized (this) {
            if (!target.running) {
              event("promotion of " + id + " is void, the member has ended");
              return;
            }
            long newest = 0;
            for (Member m : members.values()) {
              newest = Math.max(newest, m.term);
            }
            target.leads = true;
            target.term = newest + 1;
            target.fence = 0;
            Entry last = target.log.isEmpty() ? null : target.log.get(target.log.size() - 1);
            promotions.add(
                new Promotion(
                    id,
                    target.term,
                    last == null ? 1 : last.term(),
                    last == null ? 0 : last.number(),
                    System.currentTimeMillis()));
            event("leads " + id + " term " + target.term + " with " + target.position(target.log.size()));
            for (Member m : members.values()) {
              if (m != target && reaches.test(id, m.id)) {
                m.fence = 0;
              }
            }
          }
        });
    return 200;
  }

  synchronized String status(Member m, int connections) {
    return (m.leads ? "primary" : "replica") + " " + m.term + " " + m.position(m.log.size()) + " "
        + m.fence + " " + (m.leads ? 0 : m.lagMillis) + " 0 " + connections;
  }

  /** One connection to a member. */
  final class Session {
    final Member member;
    final Socket socket;
    final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
    final Map<String, String> values = new HashMap<>();
    final Map<String, String> prepared = new HashMap<>();
    final Map<String, String> writes = new LinkedHashMap<>();
    String who = "?";
    char state = 'I';
    boolean readOnly;
    volatile boolean ended;

    Session(Member member, Socket socket) {
      this.member = member;
      this.socket = socket;
    }

    void reset() {
      ended = true;
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // Already closed.
      }
    }

    void serve() {
      World.thread(this::readLines);
      try {
        String first = take();
        if (first == null) {
          return;
        }
        String[] words = first.split(" ");
        if (words.length < 3 || !words[0].equals("START")) {
          send("ERR MALFORMED start");
          return;
        }
        who = words[2];
        awaitLink();
        if (ended) {
          return;
        }
        if (!words[1].equals(service) || (words.length > 3 && !words[3].equals(member.id))) {
          send("ERR WRONGNODE " + member.id);
          return;
        }
        if (member.sessions.size() > maxConnections) {
          send("ERR TOOMANY " + member.id);
          return;
        }
        World.sleep(12);
        send(ready());
        for (String line = take(); line != null && !line.equals("BYE"); line = take()) {
          awaitLink();
          if (ended) {
            return;
          }
          String[] query = line.split(" ", 3);
          if (query.length < 3 || !query[0].equals("QUERY")) {
            send("ERR MALFORMED line");
            return;
          }
          answer(query[1], query[2]);
        }
      } catch (IOException e) {
        // The peer has closed the connection.
      } finally {
        member.sessions.remove(this);
        try {
          socket.close();
        } catch (IOException e) {
          // Already closed.
        }
      }
    }

    private String take() throws IOException {
      try {
        while (!ended) {
          String line = lines.poll(50, TimeUnit.MILLISECONDS);
          if (line != null) {
            return line.isEmpty() ? null : line;
          }
          if (resets.test(who, member.id)) {
            reset();
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return null;
    }

    /** Bytes that a partition holds up are lost if their sender resets the connection. */
    private void awaitLink() {
      while (!ended && !(reaches.test(who, member.id) && reaches.test(member.id, who))) {
        if (resets.test(who, member.id)) {
          reset();
          return;
        }
        World.sleep(5);
      }
    }

    private void readLines() {
      try {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
          if (b == '\n') {
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            lines.add(text.substring(0, Math.max(0, text.length() - 1)));
          } else {
            line.write(b);
          }
        }
        if (reaches.test(who, member.id)) {
          lines.add("");
          return;
        }
        ended = true;
      } catch (IOException e) {
        ended = true;
      }
    }

    private void send(String... messages) throws IOException {
      StringBuilder text = new StringBuilder();
      for (String message : messages) {
        text.append(message).append("\r\n");
      }
      awaitLink();
      if (ended) {
        throw new IOException("ended");
      }
      OutputStream out = socket.getOutputStream();
      out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    private String ready() {
      synchronized (Members.this) {
        return "READY " + state + " " + member.position(member.applied());
      }
    }

    private void error(String id, String text, String code) throws IOException {
      if (state == 'T') {
        state = 'E';
      }
      record(id, text, code, 0, 0);
      send("ERR " + code + " " + member.id, ready());
    }

    private void record(String id, String text, String outcome, long term, long number) {
      synchronized (runs) {
        runs.add(
            new Run(
                System.currentTimeMillis(), member.id, who, id, World.brief(text), outcome, term,
                number));
      }
    }

    private void done(String id, String text, String row, long term, long number)
        throws IOException {
      String signature;
      synchronized (Members.this) {
        signature = Long.toHexString(++signatures) + "." + member.id + "." + id;
      }
      record(id, text, "DONE", term, number);
      String ready = ready();
      if (row == null) {
        send("DONE " + signature, ready);
      } else {
        send("ROW " + row, "DONE " + signature, ready);
      }
    }

    private void answer(String id, String text) throws IOException {
      String rest = text;
      if (rest.startsWith("AFTER ")) {
        String[] parts = rest.split(" ", 3);
        if (!has(parts[1])) {
          error(id, text, "LAGGING");
          return;
        }
        rest = parts[2];
      }
      String[] words = rest.split(" ", 3);
      if (words[0].equals("EXEC")) {
        String shape = prepared.get(words[1]);
        if (shape == null) {
          error(id, text, "NOSTMT");
          return;
        }
        String[] arguments = words[2].split(" ", 2);
        words =
            new String[] {
              shape.split(" ")[0], arguments[0], arguments.length > 1 ? arguments[1] : ""
            };
      }
      switch (words[0]) {
        case "READ" -> read(id, text, words[1]);
        case "WRITE" -> write(id, text, words[1], words.length > 2 ? words[2] : "");
        case "BEGIN" -> {
          boolean leads;
          synchronized (Members.this) {
            leads = member.leads;
          }
          if (words.length == 1 && !leads) {
            error(id, text, "READONLY");
            return;
          }
          state = 'T';
          readOnly = words.length > 1;
          record(id, text, "DONE", 0, 0);
          send("DONE -", ready());
        }
        case "COMMIT" -> commit(id, text);
        case "ROLLBACK" -> {
          state = 'I';
          writes.clear();
          record(id, text, "DONE", 0, 0);
          send("DONE -", ready());
        }
        case "SET" -> {
          values.put(words[1], words[2]);
          send("DONE -", ready());
        }
        case "PREPARE" -> {
          prepared.put(words[1], words[2]);
          send("DONE -", ready());
        }
        case "RESET" -> {
          values.clear();
          prepared.clear();
          send("DONE -", ready());
        }
        case "STATUS", "PAUSE", "RESUME", "DEMOTE" -> control(words);
        default -> send("ERR MALFORMED " + member.id, ready());
      }
    }

    private boolean has(String position) {
      synchronized (Members.this) {
        if (position.endsWith(".0")) {
          return true;
        }
        int count = member.applied();
        for (int i = 0; i < count; i++) {
          Entry entry = member.log.get(i);
          if ((entry.term() + "." + entry.number()).equals(position)) {
            return true;
          }
        }
        return false;
      }
    }

    private void control(String[] words) throws IOException {
      String row;
      synchronized (Members.this) {
        long term = words.length > 1 ? Long.parseLong(words[1]) : 0;
        switch (words[0]) {
          case "PAUSE" -> {
            if (!member.leads && term > member.term) {
              member.fence = term;
            }
          }
          case "RESUME" -> member.fence = 0;
          case "DEMOTE" -> {
            if (member.leads && member.term < term) {
              member.leads = false;
            }
          }
          default -> {}
        }
        if (!words[0].equals("STATUS")) {
          event(String.join(" ", words) + " at " + member.id + " by " + who);
        }
        row = status(member, member.sessions.size());
      }
      send("ROW " + row, "DONE -", ready());
    }

    private void read(String id, String text, String item) throws IOException {
      World.sleep(workMillis);
      String row;
      long term;
      long number;
      synchronized (Members.this) {
        int count = member.applied();
        row = "none";
        for (int i = 0; i < count; i++) {
          if (member.log.get(i).item().equals(item)) {
            row = member.log.get(i).data();
          }
        }
        if (writes.containsKey(item)) {
          row = writes.get(item);
        }
        term = count == 0 ? 1 : member.log.get(count - 1).term();
        number = count == 0 ? 0 : member.log.get(count - 1).number();
      }
      done(id, text, row, term, number);
    }

    private void write(String id, String text, String item, String data) throws IOException {
      World.sleep(workMillis);
      Entry entry = null;
      synchronized (Members.this) {
        if (member.leads && !readOnly) {
          if (state == 'T') {
            writes.put(item, data);
          } else {
            entry = append(id, item, data);
          }
        } else {
          entry = null;
        }
      }
      if (state != 'T' && entry == null) {
        error(id, text, "READONLY");
        return;
      }
      done(id, text, null, entry == null ? 0 : entry.term(), entry == null ? 0 : entry.number());
    }

    private Entry append(String id, String item, String data) {
      long now = System.currentTimeMillis();
      Entry entry =
          new Entry(member.term, member.log.size() + 1, id, item, World.brief(data), now);
      member.log.add(entry);
      member.visibleAt.add(now);
      return entry;
    }

    private void commit(String id, String text) throws IOException {
      World.sleep(workMillis);
      Entry last = null;
      boolean readonly = false;
      synchronized (Members.this) {
        if (!writes.isEmpty()) {
          if (member.leads) {
            for (Map.Entry<String, String> write : writes.entrySet()) {
              last = append(id, write.getKey(), write.getValue());
            }
          } else {
            readonly = true;
          }
        }
      }
      writes.clear();
      if (readonly) {
        state = 'E';
        error(id, text, "READONLY");
        return;
      }
      state = 'I';
      done(id, text, null, last == null ? 0 : last.term(), last == null ? 0 : last.number());
    }
  }
}
