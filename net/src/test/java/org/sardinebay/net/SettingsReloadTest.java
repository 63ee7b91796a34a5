package org.sardinebay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

class SettingsReloadTest {
  @TempDir private Path folder;
  private Path path;

  @BeforeEach
  void writeSettings() throws IOException {
    path = folder.resolve("settings.json");
    write(1);
  }

  private void write(int generation) throws IOException {
    Files.writeString(path, "{\"generation\": " + generation + "}");
  }

  @Nested
  class Requests {
    private final List<Integer> applied = new ArrayList<>();
    private final GenerationProgram program = new GenerationProgram(0, applied::add);
    private SettingsFile<Integer> file;
    private SettingsReload<Integer> reload;

    @BeforeEach
    void readSettings() {
      file = new SettingsFile<>(program, path, new PrintStream(PrintStream.nullOutputStream()));
      reload = new SettingsReload<>(program, file);
      assertThat(file.read()).contains(1);
    }

    @Test
    void should_be_carried_out_once_the_program_has_started() throws IOException {
      write(2);
      reload.request();
      reload.request();
      assertThat(applied).isEmpty();

      reload.onStarted();
      assertThat(applied).containsExactly(2);
    }

    @Test
    void should_apply_a_file_that_changed_without_a_signal() throws IOException {
      reload.onStarted();
      reload.checkFile();
      assertThat(applied).isEmpty();

      write(2);
      reload.checkFile();
      reload.checkFile();
      assertThat(applied).containsExactly(2);
    }

    @Test
    void should_apply_a_file_that_changed_while_the_program_started() throws IOException {
      write(2);
      reload.onStarted();
      reload.checkFile();

      assertThat(applied).containsExactly(2);
    }

    @Test
    void should_keep_the_settings_while_the_file_is_invalid_or_missing() throws IOException {
      reload.onStarted();
      Files.writeString(path, "{\"generation\": ");
      reload.request();
      Files.delete(path);
      reload.checkFile();
      assertThat(applied).isEmpty();

      write(3);
      reload.checkFile();
      assertThat(applied).containsExactly(3);
    }
  }

  /**
   * Guards against a process that SIGHUP ends while it starts: the handler was installed after the
   * start.
   */
  @Nested
  class SignalsDuringTheStart {
    private static final int SIGNALS = 20;

    @Test
    @Timeout(value = 60, unit = TimeUnit.SECONDS)
    void should_not_end_the_process_and_bring_the_newest_settings_into_force() throws Exception {
      Process process = start();
      try (BufferedReader output = output(process)) {
        await(output, "main");
        for (int i = 2; i <= SIGNALS; i++) {
          write(i);
          signal(process, "HUP");
        }
        await(output, "applied " + SIGNALS);
        assertThat(process.isAlive()).isTrue();
      } finally {
        process.destroyForcibly();
      }
    }

    private static void await(BufferedReader output, String expected) throws IOException {
      List<String> lines = new ArrayList<>();
      String line = output.readLine();
      while (line != null && !line.equals(expected)) {
        lines.add(line);
        line = output.readLine();
      }
      assertThat(line).as("after %s", lines).isEqualTo(expected);
    }

    @Test
    @Timeout(value = 60, unit = TimeUnit.SECONDS)
    void should_shut_the_program_down_once_it_has_started() throws Exception {
      Process process = start();
      try (BufferedReader output = output(process)) {
        await(output, "starting");
        signal(process, "TERM");
        await(output, "shut down");
      } finally {
        process.destroyForcibly();
      }
    }

    private Process start() throws IOException {
      return new ProcessBuilder(
              Path.of(System.getProperty("java.home"), "bin", "java").toString(),
              "-cp",
              System.getProperty("java.class.path"),
              GenerationProgram.class.getName(),
              path.toString())
          .redirectErrorStream(true)
          .start();
    }

    private static BufferedReader output(Process process) {
      return new BufferedReader(
          new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    private static void signal(Process process, String name) throws Exception {
      String pid = Long.toString(process.pid());
      new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
    }
  }
}
