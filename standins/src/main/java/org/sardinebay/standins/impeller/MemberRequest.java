package org.sardinebay.standins.impeller;

import java.util.Optional;

/**
 * A message to a member.
 *
 * @param kind the first word of the statement, without the AFTER prefix, or START
 * @param id the id of the request, "-" if it is the gateway's own
 * @param text the text of the statement, or the whole line of START
 */
record MemberRequest(String kind, String id, String text) {
  private static final String QUERY = "QUERY";
  private static final String AFTER = "AFTER";
  private static final int FIELDS = 3;

  static MemberRequest start(String line) {
    return new MemberRequest("START", "-", line);
  }

  /** Returns the request in a QUERY line; empty if the line is none. */
  static Optional<MemberRequest> query(String line) {
    String[] parts = line.split(" ", FIELDS);
    if (parts.length < FIELDS || !parts[0].equals(QUERY)) {
      return Optional.empty();
    }
    String kind = statement(parts[2]).split(" ", 2)[0];
    return Optional.of(new MemberRequest(kind, parts[1], parts[2]));
  }

  /** Returns the text without the AFTER prefix. */
  String statement() {
    return statement(text);
  }

  private static String statement(String text) {
    String[] words = text.split(" ", FIELDS);
    return words[0].equals(AFTER) && words.length == FIELDS ? words[2] : text;
  }
}
