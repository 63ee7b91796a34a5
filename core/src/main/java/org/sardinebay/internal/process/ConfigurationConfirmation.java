package org.sardinebay.internal.process;

import org.sardinebay.session.RouteTable;

/**
 * Decides from when on a process that has started may admit callers by its configuration. A store
 * that was restored from an older copy may give it a version that lists keys which a later version
 * withdrew; other hosts still have the later one. So the process waits for the first reply of a
 * peer, but not for long, since peers may be away.
 *
 * <p>Only configurations with workspaces have keys, and a store that names no era, or its first
 * one, was never restored as far as this process can tell; in both cases there is nothing to wait
 * for.
 */
public final class ConfigurationConfirmation {
  /**
   * The maximum wait after the first configuration, in milliseconds. A peer that is up replies
   * within a few round trips; a start message waits for 1,500 ms.
   */
  public static final long MAX_WAIT_MILLIS = 1_000;

  /** The era of a store that was never restored. */
  private static final long FIRST_ERA = 1;

  private boolean confirmed;
  private long waitingSince = -1;

  /** Records that a peer has replied and that its records are applied. */
  public void onPeerReply() {
    confirmed = true;
  }

  /**
   * Decides whether callers may be admitted. Once true, it stays so.
   *
   * @param table the configuration in force
   * @param storeEra the store's latest era, 0 if it has named none
   * @param now the current time in milliseconds
   * @return false while there is no configuration, or while it may be an older one
   */
  public boolean admits(RouteTable table, long storeEra, long now) {
    if (table.version() == 0) {
      return false;
    }
    if (waitingSince < 0) {
      waitingSince = now;
    }
    confirmed |=
        table.workspaces().isEmpty()
            || storeEra <= FIRST_ERA
            || now - waitingSince >= MAX_WAIT_MILLIS;
    return confirmed;
  }
}
