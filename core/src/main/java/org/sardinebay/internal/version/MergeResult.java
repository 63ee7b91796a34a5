package org.sardinebay.internal.version;

/** The result of {@link ConfigStore#merge} for one record. */
public enum MergeResult {
  /** The record was newer and is now in effect. */
  APPLIED,
  /** The store already has the record at this version. */
  ALREADY_APPLIED,
  /** The store has the record at a higher version; nothing changed. */
  OLDER,
  /** The store has different content for the same version; nothing changed. */
  CONTENT_DIFFERS
}
