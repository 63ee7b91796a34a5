package org.sardinebay.standins.impeller;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The session of one connection: its transaction, session values and prepared statements. Each
 * success of a read, write or commit carries a signature of its own.
 */
final class LineMemberSession {
  private final String member;
  private final MemberGroup group;
  private final AtomicLong signatures;
  private final Map<String, String> values = new TreeMap<>();
  private final Map<String, String> prepared = new HashMap<>();
  private final Map<String, String> writes = new LinkedHashMap<>();

  /** The state in READY lines: I idle, T in a transaction, E after an error in a transaction. */
  private char state = 'I';

  private boolean readOnly;
  private String requestId = "";
  private Optional<String> transaction = Optional.empty();

  /** Creates a session; {@code signatures} counts those of the member. */
  LineMemberSession(String member, MemberGroup group, AtomicLong signatures) {
    this.member = member;
    this.group = group;
    this.signatures = signatures;
  }

  /** Returns the id of the BEGIN of the open transaction. */
  Optional<String> transaction() {
    return transaction;
  }

  Map<String, String> values() {
    return Map.copyOf(values);
  }

  /** Returns the shape that an EXEC refers to. */
  Optional<String> shape(MemberRequest request) {
    return request.kind().equals("EXEC")
        ? Optional.ofNullable(prepared.get(request.statement().split(" ", 3)[1]))
        : Optional.empty();
  }

  /** Returns the answer to START. */
  LineAnswer opened() {
    return new LineAnswer(List.of(), "", ready());
  }

  /** Returns the answer to a statement that is not run. */
  LineAnswer refuse(String code) {
    return error(code);
  }

  /**
   * Runs one statement and returns the complete answer. STATUS reports {@code connections}, the
   * number of open connections of the member.
   */
  LineAnswer run(String id, String text, int connections) {
    requestId = id;
    String rest = text;
    if (rest.startsWith("AFTER ")) {
      String[] parts = rest.split(" ", 3);
      if (!group.hasReceived(member, parts[1])) {
        return error("LAGGING");
      }
      rest = parts[2];
    }
    String[] words = rest.split(" ", 3);
    return switch (words[0]) {
      case "READ" -> read(words[1]);
      case "WRITE" -> write(words[1], words.length > 2 ? words[2] : "");
      case "EXEC" -> execute(words[1], words[2]);
      case "BEGIN" -> begin(words.length > 1);
      case "COMMIT" -> commit();
      case "ROLLBACK" -> rollback();
      case "SET" -> set(words);
      case "PREPARE" -> prepare(words);
      case "RESET" -> reset();
      default -> control(words, connections);
    };
  }

  private LineAnswer control(String[] words, int connections) {
    switch (words[0]) {
      case "PAUSE" -> group.fence(member, Long.parseLong(words[1]));
      case "RESUME" -> group.unfence(member);
      case "DEMOTE" -> group.demote(member, Long.parseLong(words[1]));
      case "STATUS" -> {}
      default -> {
        return error("MALFORMED");
      }
    }
    return done(List.of(group.status(member, 0, connections)), "-");
  }

  private LineAnswer read(String item) {
    String row = writes.containsKey(item) ? writes.get(item) : group.read(member, item).orElse("-");
    return done(List.of(row + values), signature());
  }

  private LineAnswer write(String item, String data) {
    if (!group.isPrimary(member)) {
      return error("READONLY");
    }
    if (state == 'T') {
      writes.put(item, data);
      return done(signature());
    }
    return group.commit(member, Map.of(item, data)) ? done(signature()) : error("READONLY");
  }

  private LineAnswer execute(String name, String arguments) {
    String shape = prepared.get(name);
    if (shape == null) {
      return error("NOSTMT");
    }
    String[] words = arguments.split(" ", 2);
    return shape.startsWith("READ") ? read(words[0]) : write(words[0], words[1]);
  }

  private LineAnswer begin(boolean onlyReads) {
    if (!onlyReads && !group.isPrimary(member)) {
      return error("READONLY");
    }
    state = 'T';
    readOnly = onlyReads;
    transaction = Optional.of(requestId);
    return done("-");
  }

  private LineAnswer commit() {
    boolean committed = writes.isEmpty() || readOnly || group.commit(member, writes);
    writes.clear();
    state = 'I';
    transaction = Optional.empty();
    return committed ? done(signature()) : error("READONLY");
  }

  private LineAnswer rollback() {
    writes.clear();
    state = 'I';
    transaction = Optional.empty();
    return done("-");
  }

  private LineAnswer set(String[] words) {
    values.put(words[1], words[2]);
    return done("-");
  }

  private LineAnswer prepare(String[] words) {
    prepared.put(words[1], words[2]);
    return done("-");
  }

  private LineAnswer reset() {
    values.clear();
    prepared.clear();
    return done("-");
  }

  private String signature() {
    return member + "." + signatures.incrementAndGet() + "." + requestId;
  }

  private LineAnswer done(String signature) {
    return done(List.of(), signature);
  }

  private LineAnswer done(List<String> rows, String signature) {
    return new LineAnswer(rows, "DONE " + signature, ready());
  }

  private LineAnswer error(String code) {
    if (state == 'T') {
      state = 'E';
    }
    return new LineAnswer(List.of(), "ERR " + code + " " + member, ready());
  }

  private String ready() {
    return "READY " + state + " " + group.position(member);
  }
}
