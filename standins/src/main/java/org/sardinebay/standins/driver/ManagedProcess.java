package org.sardinebay.standins.driver;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A child JVM that can be killed, suspended, terminated and restarted. */
final class ManagedProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ManagedProcess.class);
  private static final long KILL_TIMEOUT_SECONDS = 5;
  private static final String FAST_START_FLAG = "-XX:TieredStopAtLevel=1";

  private final String name;
  private final List<String> command;
  private final File log;
  private Process process;
  private int incarnation;

  private ManagedProcess(String name, List<String> command, File log) {
    this.name = name;
    this.command = command;
    this.log = log;
  }

  static ManagedProcess forNode(Node node, Path settings, Path folder, JvmMode mode) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:+UseSerialGC", "-Xmx64m", "-Xss512k", "-Dsardinebay.strict=true"));
    if (mode == JvmMode.FAST_START) {
      command.add(FAST_START_FLAG);
    }
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(List.of(node.kind().mainClass(), "--settings", settings.toString()));
    return new ManagedProcess(node.name(), command, folder.resolve(node.name() + ".log").toFile());
  }

  String name() {
    return name;
  }

  /** Starts the process unless it is already running. */
  synchronized void start() throws IOException {
    if (isAlive()) {
      return;
    }
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    incarnation++;
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns the operating system's handle of the process. */
  ProcessHandle handle() {
    return currentProcess().toHandle();
  }

  /** Returns how many times the process has been started. */
  synchronized int incarnation() {
    return incarnation;
  }

  /** Sends SIGKILL and waits up to 5 s for the process to exit. */
  synchronized void kill() {
    if (process != null) {
      process.destroyForcibly();
      awaitExit(KILL_TIMEOUT_SECONDS);
    }
  }

  /** Sends SIGTERM. */
  synchronized void terminate() {
    process.destroy();
  }

  /** Waits for the process to exit; returns whether it did within the timeout. */
  boolean awaitExit(long seconds) {
    try {
      return currentProcess().waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  void suspend() {
    signal("-STOP");
  }

  void resume() {
    signal("-CONT");
  }

  private synchronized Process currentProcess() {
    return process;
  }

  private void signal(String signal) {
    String pid = Long.toString(currentProcess().pid());
    try {
      new ProcessBuilder("kill", signal, pid).inheritIO().start().waitFor();
    } catch (IOException e) {
      LOG.atError().setMessage("signal_failed").addKeyValue("process", name).setCause(e).log();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
