package org.sardinebay.ctl.internal.request;

import java.util.Optional;
import org.sardinebay.record.RecordCodecs;

/** The kinds of platform objects that operators can list and watch. */
final class Kinds {
  /** Acceptance states of record versions, written by controllers. */
  static final String ACCEPTED = "accepted";

  /** Promotions of databases, written by the processes that carry out the promotions. */
  static final String PROMOTIONS = "promotions";

  private Kinds() {}

  static Optional<Failure> check(String kind) {
    boolean known =
        RecordCodecs.kinds().contains(kind) || kind.equals(ACCEPTED) || kind.equals(PROMOTIONS);
    return known ? Optional.empty() : Optional.of(new Failure.UnknownKind(kind));
  }
}
