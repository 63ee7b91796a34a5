package org.sardinebay.platform;

/**
 * The version of an object in a store that may come back from an older copy of its objects. The
 * store then assigns revisions again, so only revisions of the same era can be compared. A version
 * holds both numbers in one value, which increases with the era first and the revision second.
 *
 * <pre>{@code
 * long version = ObjectVersion.of(era, revision);
 * ObjectVersion.revision(version);
 * }</pre>
 *
 * <p>The version of a store without eras is its revision.
 */
public final class ObjectVersion {
  private static final int REVISION_BITS = 40;
  private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;
  private static final long MAX_ERA = Long.MAX_VALUE >> REVISION_BITS;

  private ObjectVersion() {}

  /**
   * Returns the version of a revision.
   *
   * @param era how often the store has come back from an older copy, from 0
   * @param revision the store's revision, from 0
   * @return the version
   * @throws IllegalArgumentException if a number is out of range
   */
  public static long of(long era, long revision) {
    if (!valid(era, revision)) {
      throw new IllegalArgumentException("no version of era " + era + ", revision " + revision);
    }
    return era << REVISION_BITS | revision;
  }

  /**
   * Returns whether numbers that another process sent make a version.
   *
   * @param era the era
   * @param revision the revision
   * @return whether {@link #of} accepts them
   */
  public static boolean valid(long era, long revision) {
    return era >= 0 && era <= MAX_ERA && revision >= 0 && revision <= MAX_REVISION;
  }

  /**
   * Returns the era of a version.
   *
   * @param version the version
   * @return the era, 0 in a store without eras
   */
  public static long era(long version) {
    return version >> REVISION_BITS;
  }

  /**
   * Returns the revision of a version, as the store knows it.
   *
   * @param version the version
   * @return the revision
   */
  public static long revision(long version) {
    return version & MAX_REVISION;
  }

  /**
   * Returns a version as text.
   *
   * @param version the version
   * @return {@code era.revision}, or only the revision in era 0
   */
  public static String text(long version) {
    return era(version) == 0 ? Long.toString(version) : era(version) + "." + revision(version);
  }
}
