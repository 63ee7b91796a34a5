package org.sardinebay.net;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;

/** A program whose only setting is a number, which starts slowly and tells what it applies. */
final class GenerationProgram implements Program<Integer> {
  private static final long START_MILLIS = 400;

  private final long startMillis;
  private final Consumer<Integer> onApplied;

  GenerationProgram(long startMillis, Consumer<Integer> onApplied) {
    this.startMillis = startMillis;
    this.onApplied = onApplied;
  }

  public static void main(String[] args) {
    HangupSignal.ignore();
    System.out.println("main");
    GenerationProgram program =
        new GenerationProgram(START_MILLIS, number -> System.out.println("applied " + number));
    System.exit(ProgramRunner.run(program, "--settings", args[0]));
  }

  @Override
  public String name() {
    return "generation";
  }

  @Override
  public String summary() {
    return "applies a number";
  }

  @Override
  public Integer settings(FieldReader reader) {
    return (int) reader.number("generation", 1, Integer.MAX_VALUE);
  }

  @Override
  public RunningProcess start(Integer settings) throws IOException {
    System.out.println("starting");
    try {
      Thread.sleep(startMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    onApplied.accept(settings);
    return new RunningProcess() {
      @Override
      public JsonNode dump() {
        return Json.newObject();
      }

      @Override
      public boolean ready() {
        return true;
      }

      @Override
      public void shutdown() {
        System.out.println("shut down");
      }
    };
  }

  @Override
  public List<String> settingsHelp() {
    return List.of();
  }

  @Override
  public void reload(Integer settings) {
    onApplied.accept(settings);
  }
}
