package org.sardinebay.ctl.internal.request;

import java.util.Optional;
import org.sardinebay.record.RecordCodecs;

/** The kinds of objects that operators can list and watch. */
final class Kinds {
  /** Whether a version of a record is accepted; written by controllers. */
  static final String ACCEPTED = "accepted";

  /** The promotions of databases; written by their drivers. */
  static final String PROMOTIONS = "promotions";

  private Kinds() {}

  static Optional<Failure> check(String kind) {
    boolean known =
        RecordCodecs.kinds().contains(kind) || kind.equals(ACCEPTED) || kind.equals(PROMOTIONS);
    return known ? Optional.empty() : Optional.of(new Failure.UnknownKind(kind));
  }
}
