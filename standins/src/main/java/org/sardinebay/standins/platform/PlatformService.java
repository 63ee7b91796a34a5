package org.sardinebay.standins.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.PlatformResult;

/** Serializes access to a {@link PlatformState} and delivers its answers. */
final class PlatformService {
  private final PlatformState state;
  private final Map<Long, CompletableFuture<PlatformResult>> watches = new HashMap<>();
  private final ExecutorService worker;

  PlatformService(PlatformState state) {
    this.state = state;
    this.worker = Executors.newSingleThreadExecutor(PlatformService::daemon);
  }

  /** Runs a function on the state while holding its lock. */
  <T> T withState(Function<PlatformState, T> operation) {
    synchronized (state) {
      return operation.apply(state);
    }
  }

  /** Makes a call. The future may complete after a delay, or never if the answer is lost. */
  CompletableFuture<PlatformResult> call(Function<PlatformState, PlatformAnswer> call) {
    CompletableFuture<PlatformResult> future = new CompletableFuture<>();
    PlatformAnswer answer = withState(call);
    if (answer instanceof PlatformAnswer.Known known) {
      deliver(future, known);
    }
    answerReadyWatches();
    return future;
  }

  /** Starts a watch. */
  CompletableFuture<PlatformResult> watch(List<String> kinds, long after, long waitMillis) {
    CompletableFuture<PlatformResult> future = new CompletableFuture<>();
    PlatformAnswer answer;
    synchronized (state) {
      answer = state.watch(kinds, after, waitMillis);
      if (answer instanceof PlatformAnswer.Waiting waiting) {
        watches.put(waiting.watch(), future);
      }
    }
    if (answer instanceof PlatformAnswer.Known known) {
      deliver(future, known);
    } else {
      runLater(waitMillis, this::answerReadyWatches);
    }
    return future;
  }

  /** Changes the faults. */
  void changeFaults(UnaryOperator<PlatformFaults> change) {
    synchronized (state) {
      state.changeFaults(change.apply(state.faults()));
    }
    answerReadyWatches();
  }

  /** Adds, replaces or removes an entry of the host list. */
  void changeHost(HostEntry host, boolean gone) {
    synchronized (state) {
      if (gone) {
        state.removeHost(host);
      } else {
        state.putHost(host);
      }
    }
  }

  void stop() {
    worker.shutdownNow();
  }

  private void answerReadyWatches() {
    Map<CompletableFuture<PlatformResult>, PlatformAnswer.Known> answers = new HashMap<>();
    synchronized (state) {
      for (ReadyWatch ready : state.readyWatches()) {
        answers.put(watches.remove(ready.watch()), ready.answer());
      }
    }
    answers.forEach(this::deliver);
  }

  private void deliver(CompletableFuture<PlatformResult> future, PlatformAnswer.Known answer) {
    if (answer.delayMillis() == 0) {
      future.complete(answer.result());
    } else {
      runLater(answer.delayMillis(), () -> future.complete(answer.result()));
    }
  }

  private void runLater(long delayMillis, Runnable task) {
    CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS, worker).execute(task);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "platform-worker");
    thread.setDaemon(true);
    return thread;
  }
}
