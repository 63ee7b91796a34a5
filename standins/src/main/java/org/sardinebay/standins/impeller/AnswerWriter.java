package org.sardinebay.standins.impeller;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Sends the answers of one connection, with their faults. Thread-safe. */
final class AnswerWriter {
  private static final String TERMINATOR = "\r\n";

  private final OutputStream out;
  private final AnswerFaults faults;
  private final ScheduledExecutorService timer;
  private final List<Held> beforeRequest = new ArrayList<>();
  private final List<String> afterNext = new ArrayList<>();

  private record Held(String text, Predicate<MemberRequest> requests) {}

  AnswerWriter(OutputStream out, AnswerFaults faults, ScheduledExecutorService timer) {
    this.out = out;
    this.faults = faults;
    this.timer = timer;
  }

  /** Sends the repeated answers that the request was awaited for. */
  synchronized void onRequest(MemberRequest request) throws IOException {
    List<Held> due = beforeRequest.stream().filter(held -> held.requests.test(request)).toList();
    beforeRequest.removeAll(due);
    for (Held held : due) {
      repeat(held.text);
    }
  }

  /** Sends an answer. Returns false if the connection has to be closed. */
  boolean send(LineAnswer answer, List<AnswerFault> answerFaults) throws IOException {
    String text = answer.text();
    for (AnswerFault fault : answerFaults) {
      if (fault instanceof AnswerFault.Delay delay) {
        pause(delay.millis());
      } else if (fault instanceof AnswerFault.CutBytes cut) {
        write(text.substring(0, Math.min(cut.bytes(), text.length())));
        return !cut.closes();
      } else if (fault instanceof AnswerFault.CutLines cut) {
        write(firstLines(answer, cut.lines()));
        return !cut.closes();
      }
    }
    writeWithRepeated(text);
    answerFaults.forEach(fault -> holdRepeated(text, fault));
    return true;
  }

  private synchronized void writeWithRepeated(String text) throws IOException {
    write(text);
    for (String earlier : afterNext) {
      repeat(earlier);
    }
    afterNext.clear();
  }

  private synchronized void holdRepeated(String text, AnswerFault fault) {
    if (fault instanceof AnswerFault.RepeatBefore before) {
      beforeRequest.add(new Held(text, before.requests()));
    } else if (fault instanceof AnswerFault.RepeatAfterNext) {
      afterNext.add(text);
    } else if (fault instanceof AnswerFault.RepeatLater later) {
      Future<?> unused =
          timer.schedule(() -> repeatLate(text), later.millis(), TimeUnit.MILLISECONDS);
    }
  }

  private void repeatLate(String text) {
    try {
      repeat(text);
    } catch (IOException e) {
      // The connection was closed before the answer was sent again.
    }
  }

  private void repeat(String text) throws IOException {
    write(text);
    faults.onRepeated();
  }

  private synchronized void write(String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static String firstLines(LineAnswer answer, int count) {
    StringBuilder text = new StringBuilder();
    answer.lines().stream().limit(count).forEach(line -> text.append(line).append(TERMINATOR));
    return text.toString();
  }

  static void pause(long millis) throws InterruptedIOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException();
    }
  }
}
