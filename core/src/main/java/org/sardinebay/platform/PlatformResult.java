package org.sardinebay.platform;

import java.util.List;

/** The result of a call to the platform. */
public sealed interface PlatformResult {
  /**
   * The object as it was read or written.
   *
   * @param object the object
   */
  record Found(PlatformObject object) implements PlatformResult {}

  /** The object does not exist. */
  record Absent() implements PlatformResult {}

  /**
   * The expected version is not the current one; nothing changed.
   *
   * @param currentVersion the current version, 0 if the object is absent
   */
  record Conflict(long currentVersion) implements PlatformResult {}

  /**
   * The objects that changed, including deletions.
   *
   * @param revision the {@link ObjectVersion} up to which the listing is complete
   * @param objects the objects, ordered by version
   */
  record Listing(long revision, List<PlatformObject> objects) implements PlatformResult {}

  /**
   * The hosts that the platform believes to be live or leaving.
   *
   * @param revision the revision of the list; increases whenever the list changes
   * @param hosts one entry per host
   */
  record Hosts(long revision, List<HostEntry> hosts) implements PlatformResult {}

  /**
   * The call failed.
   *
   * @param failure the reason
   */
  record Failed(PlatformFailure failure) implements PlatformResult {}
}
