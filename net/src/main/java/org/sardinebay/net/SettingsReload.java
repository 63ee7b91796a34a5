package org.sardinebay.net;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies changed settings to a running program: after SIGHUP, and when the content of the file has
 * changed, since it may change without a signal and a signal may come before the process can handle
 * it. A request that arrives while the program starts is carried out once it has started.
 *
 * <pre>{@code
 * HangupSignal.handle(reload::request);
 * program.start(settings);
 * reload.onStarted();
 * }</pre>
 *
 * @param <S> the type of the settings
 */
final class SettingsReload<S> {
  private static final Logger LOG = LoggerFactory.getLogger(SettingsReload.class);

  private final Program<S> program;
  private final SettingsFile<S> file;
  private boolean started;
  private boolean requested;

  SettingsReload(Program<S> program, SettingsFile<S> file) {
    this.program = program;
    this.file = file;
  }

  /** Reloads the settings, or does so once the program has started. */
  synchronized void request() {
    if (started) {
      reload("signal");
    } else {
      requested = true;
    }
  }

  /** Carries out a request that arrived while the program started. */
  synchronized void onStarted() {
    started = true;
    if (requested) {
      reload("signal");
    }
  }

  /** Reloads the settings if the file has changed. */
  synchronized void checkFile() {
    if (started && file.changed()) {
      reload("file");
    }
  }

  private void reload(String cause) {
    Optional<S> settings = file.read();
    LOG.atInfo()
        .setMessage("reload_requested")
        .addKeyValue("program", program.name())
        .addKeyValue("cause", cause)
        .addKeyValue(
            "settings", settings.isPresent() ? "read" : "invalid, keeping the previous ones")
        .log();
    settings.ifPresent(program::reload);
  }
}
