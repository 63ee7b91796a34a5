package org.sardinebay.internal.version;

/** What {@link ConfigStore#merge} did with a record. */
public enum MergeResult {
  /** The record was newer and is now in force. */
  APPLIED,
  /** The store holds the record at this version already. */
  ALREADY_APPLIED,
  /** The store holds the record at a higher version; nothing changed. */
  OLDER,
  /** The store holds other content under the same version; nothing changed. */
  CONTENT_DIFFERS
}
