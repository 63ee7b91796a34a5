package org.sardinebay.standins.impeller;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The session of one connection: its transaction, session values and prepared statements. */
final class LineMemberSession {
  private final String member;
  private final MemberGroup group;
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, String> prepared = new HashMap<>();
  private final Map<String, String> writes = new LinkedHashMap<>();

  /** The state in READY lines: I idle, T in a transaction, E after an error in a transaction. */
  private char state = 'I';

  private boolean readOnly;

  LineMemberSession(String member, MemberGroup group) {
    this.member = member;
    this.group = group;
  }

  /**
   * Runs one statement and returns the complete answer, including the READY line. STATUS reports
   * {@code connections}, the number of open connections of the member.
   */
  String run(String text, int connections) {
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

  private String control(String[] words, int connections) {
    switch (words[0]) {
      case "PAUSE" -> group.fence(member, Long.parseLong(words[1]));
      case "RESUME" -> group.unfence(member);
      case "DEMOTE" -> group.demote(member, Long.parseLong(words[1]));
      case "STATUS" -> {}
      default -> {
        return error("MALFORMED");
      }
    }
    return "ROW " + group.status(member, 0, connections) + "\r\n" + done("-");
  }

  private String read(String item) {
    String row = writes.containsKey(item) ? writes.get(item) : group.read(member, item).orElse("-");
    return "ROW " + row + values + "\r\n" + done("sig." + item);
  }

  private String write(String item, String data) {
    if (!group.isPrimary(member)) {
      return error("READONLY");
    }
    if (state == 'T') {
      writes.put(item, data);
      return done("sig." + item);
    }
    return group.commit(member, Map.of(item, data)) ? done("sig." + item) : error("READONLY");
  }

  private String execute(String name, String arguments) {
    String shape = prepared.get(name);
    if (shape == null) {
      return error("NOSTMT");
    }
    String[] words = arguments.split(" ", 2);
    return shape.startsWith("READ") ? read(words[0]) : write(words[0], words[1]);
  }

  private String begin(boolean onlyReads) {
    if (!onlyReads && !group.isPrimary(member)) {
      return error("READONLY");
    }
    state = 'T';
    readOnly = onlyReads;
    return done("-");
  }

  private String commit() {
    boolean committed = writes.isEmpty() || readOnly || group.commit(member, writes);
    writes.clear();
    state = 'I';
    return committed ? done("sig.commit") : error("READONLY");
  }

  private String rollback() {
    writes.clear();
    state = 'I';
    return done("-");
  }

  private String set(String[] words) {
    values.put(words[1], words[2]);
    return done("-");
  }

  private String prepare(String[] words) {
    prepared.put(words[1], words[2]);
    return done("-");
  }

  private String reset() {
    values.clear();
    prepared.clear();
    return done("-");
  }

  private String done(String signature) {
    return "DONE " + signature + "\r\n" + ready();
  }

  private String error(String code) {
    if (state == 'T') {
      state = 'E';
    }
    return "ERR " + code + " " + member + "\r\n" + ready();
  }

  private String ready() {
    return "READY " + state + " " + group.position(member) + "\r\n";
  }
}
