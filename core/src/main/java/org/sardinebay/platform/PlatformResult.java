package org.sardinebay.platform;

import java.util.List;

/** What a call to the platform came to. */
public sealed interface PlatformResult {
  /**
   * The object, as read or as just written.
   *
   * @param object the object
   */
  record Found(PlatformObject object) implements PlatformResult {}

  /** No such object. */
  record Absent() implements PlatformResult {}

  /**
   * The expected version is not the current one; nothing changed.
   *
   * @param currentVersion the current version, 0 if the object is absent
   */
  record Conflict(long currentVersion) implements PlatformResult {}

  /**
   * Objects that changed, deletions included.
   *
   * @param revision the platform's revision up to which the listing is complete
   * @param objects the objects, by version
   */
  record Listing(long revision, List<PlatformObject> objects) implements PlatformResult {}

  /**
   * The hosts that the platform believes live or leaving.
   *
   * @param revision grows whenever the list changes
   * @param hosts one entry for each
   */
  record Hosts(long revision, List<HostEntry> hosts) implements PlatformResult {}

  /**
   * The call failed.
   *
   * @param failure how
   */
  record Failed(PlatformFailure failure) implements PlatformResult {}
}
