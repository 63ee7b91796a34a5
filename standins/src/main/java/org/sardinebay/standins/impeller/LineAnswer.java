package org.sardinebay.standins.impeller;

import java.util.ArrayList;
import java.util.List;

/**
 * A member's answer to one message.
 *
 * @param rows the texts of its ROW lines
 * @param outcome the DONE or ERR line; empty if the message was START and the session was started
 * @param ready the READY line; empty if the session was refused
 */
record LineAnswer(List<String> rows, String outcome, String ready) {
  /** Returns all lines without their terminators. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    rows.forEach(row -> lines.add("ROW " + row));
    if (!outcome.isEmpty()) {
      lines.add(outcome);
    }
    if (!ready.isEmpty()) {
      lines.add(ready);
    }
    return lines;
  }

  /** Returns the answer as it is sent. */
  String text() {
    return String.join("\r\n", lines()) + "\r\n";
  }

  boolean succeeded() {
    return !outcome.startsWith("ERR");
  }
}
