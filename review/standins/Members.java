import java.io.IOException;
import java.io.InputStream;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** One service: a primary and its replicas, with their logs, on the line protocol. */
final class Members {
  static final String SERVICE = "orders";
  private static final long HEARTBEAT_MILLIS = 1_200;

  /** One committed write. */
  record Entry(long term, long number, String request, String item, String data, long at) {}

  /** One member. */
  final class Member {
    final String id;
    final String zone;
    final int port;
    final List<Entry> log = new ArrayList<>();
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final Set<String> cutFrom = ConcurrentHashMap.newKeySet();
    boolean running;
    boolean leads;
    boolean deaf;
    volatile boolean dark;
    String state = "ready";
    long term = 1;
    long held;
    long seq;
    ServerSocket listener;

    private Member(String id, String zone) throws IOException {
      this.id = id;
      this.zone = zone;
      this.port = Fleet.freePort();
    }

    String position() {
      return log.isEmpty()
          ? "1.0"
          : log.get(log.size() - 1).term() + "." + log.get(log.size() - 1).number();
    }
  }

  private final Store store;
  private final Record record;
  private final int syncReplicas;
  private final long lagMillis;
  private final long promoteMillis;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final AtomicLong signatures = new AtomicLong();
  /** How long each statement of a caller works, in milliseconds. */
  volatile long workMillis = 5;
  /** Called on each control statement of a gateway, on the member's thread. */
  volatile ControlListener onControl = (member, gateway, text) -> {};

  /** Called on each promotion order that is accepted, before it takes effect. */
  volatile PromotionListener onPromote = (gateway, member) -> {};

  /** The commits at members that were not the newest primary any more, as "request" ids. */
  private final List<String> formerCommits = new ArrayList<>();

  /** The gateways that the rule ONE excuses, because a link of theirs was disrupted. */
  final Set<String> excused = ConcurrentHashMap.newKeySet();

  /** The statements of callers that members ran, as id and text. */
  private final List<String> ran = new ArrayList<>();

  synchronized List<String> ran() {
    return List.copyOf(ran);
  }

  interface PromotionListener {
    void onPromote(String gateway, Member member);
  }

  interface ControlListener {
    void onControl(Member member, String gateway, String text);
  }

  Members(Store store, Record record, int syncReplicas, long lagMillis, long promoteMillis) {
    this.store = store;
    this.record = record;
    this.syncReplicas = syncReplicas;
    this.lagMillis = lagMillis;
    this.promoteMillis = promoteMillis;
    Fleet.thread(this::replicate);
    Fleet.thread(this::heartbeat);
  }

  Member add(String id, String zone, boolean primary) throws IOException {
    Member member = new Member(id, zone);
    member.leads = primary;
    synchronized (this) {
      members.put(id, member);
    }
    start(member);
    return member;
  }

  Member get(String id) {
    return members.get(id);
  }

  void start(Member member) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), member.port), 100);
    synchronized (this) {
      member.listener = listener;
      member.running = true;
      member.held = 0;
    }
    Fleet.thread(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            member.sockets.add(socket);
            Fleet.thread(() -> serve(member, socket));
          }
        });
    register(member);
  }

  /** Ends a member's process: its address refuses connections, and open ones are reset. */
  void crash(Member member) throws IOException {
    synchronized (this) {
      member.running = false;
      notifyAll();
    }
    member.listener.close();
    for (Socket socket : member.sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    record.line("member " + member.id + " crashes; its log stands at " + member.position());
  }

  /** Cuts the path between a member and one gateway for a while, silently. */
  void cut(Member member, String gateway, long millis) {
    member.cutFrom.add(gateway);
    excused.add(gateway);
    record.line("the path between " + member.id + " and " + gateway + " is cut");
    Fleet.thread(
        () -> {
          Thread.sleep(millis);
          member.cutFrom.remove(gateway);
          record.line("the path between " + member.id + " and " + gateway + " is back");
        });
  }

  /** A member crashes and its address doesn't respond; connections to it hang. */
  void darken(Member member) {
    member.dark = true;
    record.line("member " + member.id + " is dark");
  }

  /** A member that was dark starts again with its log. Its former connections are reset. */
  void startAgain(Member member) throws IOException {
    for (Socket socket : member.sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    member.dark = false;
    record.line("member " + member.id + " is back as " + (member.leads ? "primary" : "replica"));
  }

  /** The given requests that were committed at a member after another one had taken over. */
  synchronized List<String> commitsAtFormerPrimaries(List<String> requests) {
    return requests.stream().filter(formerCommits::contains).toList();
  }

  void drain(Member member) {
    member.state = "draining";
    register(member);
    record.line("member " + member.id + " reports draining; the store has accepted it");
  }

  private void register(Member member) {
    Map<String, Object> spec;
    synchronized (this) {
      member.seq++;
      spec =
          Json.map(
              "backend", SERVICE, "addr", "127.0.0.1:" + member.port, "zone", member.zone,
              "version", "v1", "slots", 3L, "state", member.state, "coldLeftMs", 0L, "dbRole",
              member.leads ? "primary" : "replica", "seq", member.seq);
    }
    store.put("servers", member.id, spec);
  }

  private void heartbeat() throws InterruptedException {
    Map<String, Integer> missed = new HashMap<>();
    while (true) {
      Thread.sleep(HEARTBEAT_MILLIS);
      for (Member member : List.copyOf(members.values())) {
        if (member.running) {
          missed.put(member.id, 0);
          register(member);
        } else if (missed.merge(member.id, 1, Integer::sum) == 3) {
          store.delete("servers", member.id);
        }
      }
    }
  }

  private synchronized Member leader() {
    Member leader = null;
    for (Member member : members.values()) {
      if (member.running && member.leads && (leader == null || member.term > leader.term)) {
        leader = member;
      }
    }
    return leader;
  }

  /**
   * Brings the commits of the primary to its replicas, also the last ones of a primary that was
   * demoted.
   */
  private void replicate() throws InterruptedException {
    Member last = null;
    while (true) {
      Thread.sleep(5);
      synchronized (this) {
        Member leader = leader() == null ? last : leader();
        if (leader == null || !leader.running || leader.dark) {
          continue;
        }
        last = leader;
        for (Member member : members.values()) {
          if (member == leader || !member.running || member.leads || member.deaf || member.dark
              || member.held > 0) {
            continue;
          }
          receive(member, leader);
        }
        notifyAll();
      }
    }
  }

  private void receive(Member member, Member leader) {
    int common = 0;
    while (common < member.log.size()
        && common < leader.log.size()
        && member.log.get(common) == leader.log.get(common)) {
      common++;
    }
    while (member.log.size() > common) {
      Entry lost = member.log.remove(member.log.size() - 1);
      record.line("member " + member.id + " rolls back " + lost);
    }
    member.term = leader.term;
    long now = System.nanoTime() / 1_000_000;
    while (member.log.size() < leader.log.size()
        && leader.log.get(member.log.size()).at() + lagMillis <= now) {
      member.log.add(leader.log.get(member.log.size()));
    }
  }

  /** Performs a promotion; the answer is the status of the call. */
  int promote(String gateway, String id, String holder, long token) {
    synchronized (this) {
      Member target = members.get(id);
      record.line(
          "promote " + id + " ordered by " + gateway + ", holder " + holder + ", token " + token
              + "; its log stands at " + (target == null ? "-" : target.position()));
      if (target == null || !target.running) {
        return 409;
      }
      if (target.leads && target == leader()) {
        return 200;
      }
    }
    onPromote.onPromote(gateway, members.get(id));
    Fleet.thread(
        () -> {
          Thread.sleep(promoteMillis);
          takeOver(members.get(id));
        });
    return 200;
  }

  private void takeOver(Member target) {
    List<Member> former = new ArrayList<>();
    synchronized (this) {
      if (!target.running) {
        return;
      }
      long newest = 0;
      for (Member member : members.values()) {
        newest = Math.max(newest, member.term);
        if (member.leads && member != target) {
          former.add(member);
        }
      }
      target.term = newest + 1;
      target.leads = true;
      for (Member member : members.values()) {
        member.held = 0;
      }
      record.line("member " + target.id + " leads term " + target.term + " from "
          + target.position());
    }
    register(target);
    Fleet.thread(
        () -> {
          Thread.sleep(1_000);
          former.forEach(this::follow);
        });
  }

  private void follow(Member member) {
    synchronized (this) {
      if (!member.leads || leader() == member) {
        return;
      }
      member.leads = false;
      record.line("member " + member.id + " follows");
    }
    if (member.running) {
      register(member);
    }
  }

  // The line protocol.

  private static final class Refused extends Exception {
    private final String code;

    private Refused(String code) {
      super(code, null, false, false);
      this.code = code;
    }
  }

  private final class Session {
    private final Member member;
    private final String gateway;
    private final Map<String, String> shapes = new HashMap<>();
    private final List<String[]> writes = new ArrayList<>();
    private char state = 'I';
    private boolean readOnly;

    private Session(Member member, String gateway) {
      this.member = member;
      this.gateway = gateway;
    }

    /** Runs one statement; returns the lines before READY. */
    private List<String> run(String id, String text) throws InterruptedException {
      try {
        return perform(id, text);
      } catch (Refused e) {
        if (state == 'T' && !e.code.equals("BUSY")) {
          state = 'E';
        }
        return List.of("ERR " + e.code + " " + member.id);
      }
    }

    private List<String> perform(String id, String whole) throws Refused, InterruptedException {
      String text = whole;
      if (text.startsWith("AFTER ")) {
        String[] parts = text.split(" ", 3);
        text = parts[2];
        synchronized (Members.this) {
          if (!contains(parts[1])) {
            throw new Refused("LAGGING");
          }
        }
      }
      String[] words = text.split(" ", 2);
      String rest = words.length > 1 ? words[1] : "";
      if (state == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
        throw new Refused("MALFORMED");
      }
      switch (words[0]) {
        case "STATUS", "PAUSE", "RESUME", "DEMOTE" -> {
          onControl.onControl(member, gateway, text);
          return control(words[0], rest);
        }
        case "RESET" -> {
          shapes.clear();
          return List.of("DONE -");
        }
        case "SET" -> {
          return List.of("DONE -");
        }
        case "PREPARE" -> {
          String[] parts = rest.split(" ", 2);
          shapes.put(parts[0], parts[1]);
          return List.of("DONE -");
        }
        case "DEALLOC" -> {
          shapes.remove(rest);
          return List.of("DONE -");
        }
        default -> {}
      }
      synchronized (Members.this) {
        ran.add(id + " " + text);
      }
      record.line("member " + member.id + " runs " + id + " " + whole + " from " + gateway);
      switch (words[0]) {
        case "BEGIN" -> {
          readOnly = rest.equals("READ");
          requireLead(!readOnly);
          state = 'T';
          writes.clear();
          return List.of("DONE -");
        }
        case "ROLLBACK" -> {
          state = 'I';
          writes.clear();
          return List.of("DONE -");
        }
        case "COMMIT" -> {
          boolean failed = state == 'E';
          state = 'I';
          List<String[]> all = List.copyOf(writes);
          writes.clear();
          if (failed) {
            throw new Refused("ABORTED");
          }
          if (!all.isEmpty()) {
            commit(id, all);
          }
          return List.of("DONE " + sign(id));
        }
        case "READ" -> {
          return read(id, rest);
        }
        case "WRITE" -> {
          return write(id, rest);
        }
        case "EXEC" -> {
          String[] parts = rest.split(" ", 2);
          String shape = shapes.get(parts[0]);
          if (shape == null) {
            throw new Refused("NOSTMT");
          }
          return shape.startsWith("READ") ? read(id, parts[1]) : write(id, parts[1]);
        }
        default -> throw new Refused("MALFORMED");
      }
    }

    private void requireLead(boolean required) throws Refused {
      synchronized (Members.this) {
        if (required && !member.leads) {
          throw new Refused("READONLY");
        }
      }
    }

    private List<String> read(String id, String item) throws InterruptedException, Refused {
      if (state == 'T') {
        requireLead(!readOnly);
      }
      Thread.sleep(workMillis);
      record.line("member " + member.id + " has run " + id);
      synchronized (Members.this) {
        for (int i = member.log.size() - 1; i >= 0; i--) {
          if (member.log.get(i).item().equals(item)) {
            return List.of("ROW " + member.log.get(i).data(), "DONE " + sign(id));
          }
        }
      }
      return List.of("DONE " + sign(id));
    }

    private List<String> write(String id, String rest) throws Refused, InterruptedException {
      requireLead(true);
      Thread.sleep(workMillis);
      String[] parts = rest.split(" ", 2);
      String[] write = {parts[0], parts.length > 1 ? parts[1] : ""};
      if (state == 'T') {
        writes.add(write);
      } else {
        commit(id, List.<String[]>of(write));
      }
      return List.of("DONE " + sign(id));
    }

    private void commit(String id, List<String[]> all) throws Refused, InterruptedException {
      synchronized (Members.this) {
        if (!member.leads) {
          throw new Refused("READONLY");
        }
        Entry last = null;
        long now = System.nanoTime() / 1_000_000;
        for (String[] write : all) {
          last = new Entry(member.term, member.log.size() + 1, id, write[0], write[1], now);
          member.log.add(last);
        }
        while (syncReplicas > 0 && member.running && !received(last)) {
          Members.this.wait(50);
        }
        if (member != leader()) {
          if (!excused.contains(gateway)) {
            formerCommits.add(id);
          }
          record.line("member " + member.id + " is not the newest primary any more");
        }
        record.line("member " + member.id + " commits " + last.term() + "." + last.number()
            + " of " + id);
      }
    }

    private boolean received(Entry entry) {
      long replicas =
          members.values().stream().filter(m -> m != member && m.log.contains(entry)).count();
      return replicas >= syncReplicas;
    }

    private boolean contains(String position) {
      String[] wanted = position.split("\\.");
      long term = Long.parseLong(wanted[0]);
      long number = Long.parseLong(wanted[1]);
      if (number == 0) {
        return true;
      }
      return member.log.stream().anyMatch(e -> e.term() == term && e.number() == number);
    }

    private List<String> control(String word, String rest) {
      synchronized (Members.this) {
        switch (word) {
          case "PAUSE" -> {
            if (!member.leads && Long.parseLong(rest) > member.term) {
              member.held = Long.parseLong(rest);
            }
          }
          case "RESUME" -> member.held = 0;
          case "DEMOTE" -> {
            if (member.leads && member.term < Long.parseLong(rest)) {
              member.leads = false;
              Fleet.thread(() -> register(member));
            }
          }
          default -> {}
        }
        if (!word.equals("STATUS")) {
          record.line("member " + member.id + " gets " + word + " " + rest + " from " + gateway);
        }
        return List.of(
            "ROW " + (member.leads ? "primary" : "replica") + " " + member.term + " "
                + member.position() + " " + member.held + " 0 0 " + member.sockets.size(),
            "DONE -");
      }
    }

    private String sign(String id) {
      return signatures.incrementAndGet() + "." + member.id + "." + id;
    }
  }

  private void serve(Member member, Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String[] start = String.valueOf(line(in)).split(" ");
      if (start.length < 3 || !start[1].equals(SERVICE)
          || (start.length > 3 && !start[3].equals(member.id))) {
        send(socket, "ERR WRONGNODE " + member.id);
        return;
      }
      Session session = new Session(member, start[2]);
      awaitPath(member, start[2]);
      send(socket, "READY I " + member.position());
      for (String line = line(in); line != null && !line.equals("BYE"); line = line(in)) {
        awaitPath(member, start[2]);
        String[] parts = line.split(" ", 3);
        List<String> answer = new ArrayList<>(session.run(parts[1], parts[2]));
        synchronized (this) {
          answer.add("READY " + session.state + " " + member.position());
        }
        awaitPath(member, start[2]);
        send(socket, answer.toArray(new String[0]));
      }
    } catch (IOException e) {
      // The connection has ended.
    } finally {
      member.sockets.remove(socket);
    }
  }

  /** Holds what passes between a member and a gateway while the path between them is cut. */
  private void awaitPath(Member member, String gateway) throws InterruptedException {
    while (member.dark || member.cutFrom.contains(gateway)) {
      Thread.sleep(5);
    }
  }

  private static void send(Socket socket, String... lines) throws IOException {
    StringBuilder all = new StringBuilder();
    for (String line : lines) {
      all.append(line).append("\r\n");
    }
    socket.getOutputStream().write(all.toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads one line that ends with CR LF. */
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int previous = 0;
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n' && previous == '\r') {
        byte[] bytes = line.toByteArray();
        return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
      }
      line.write(c);
      previous = c;
    }
    return null;
  }
}
