package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;

/**
 * The term, role, log and applied state of a member. Each change that has to survive a restart adds
 * a journal record to the outbox.
 */
final class MemberState {
  private final MemberId self;
  private final Outbox outbox;
  private final MemberLog log = new MemberLog();
  private final KeyValueState values = new KeyValueState();
  private long term;
  private String owner = "";
  private MemberRole role = MemberRole.FENCED;
  private Optional<MemberId> primary = Optional.empty();

  /** Whether the log is known to be a prefix of the log of the term's primary. */
  private boolean matched;

  MemberState(MemberId self, Outbox outbox) {
    this.self = self;
    this.outbox = outbox;
  }

  MemberId self() {
    return self;
  }

  MemberLog log() {
    return log;
  }

  KeyValueState values() {
    return values;
  }

  long term() {
    return term;
  }

  String owner() {
    return owner;
  }

  MemberRole role() {
    return role;
  }

  Optional<MemberId> primary() {
    return primary;
  }

  /**
   * Returns whether the last position that this member has received confirms the entries up to it.
   * This requires that the log is a prefix of the log of the term's primary and contains the no-op
   * entry that started the term. Without that entry, a later promotion could prefer a log that ends
   * in an intermediate term.
   */
  boolean synced() {
    return role == MemberRole.PRIMARY || (matched && log.last().term() == term);
  }

  boolean matched() {
    return matched;
  }

  void markMatched() {
    matched = true;
  }

  /** Returns why the member can't run a statement of a term; empty if it is that term's primary. */
  Optional<EndpointRefusal> refusalInTerm(long requestedTerm) {
    if (requestedTerm < term) {
      return Optional.of(EndpointRefusal.STALE_TERM);
    }
    boolean leads = role == MemberRole.PRIMARY && requestedTerm == term;
    return leads ? Optional.empty() : Optional.of(EndpointRefusal.NOT_PRIMARY);
  }

  EndpointReply.Refused refused(EndpointRefusal refusal) {
    return new EndpointReply.Refused(refusal, term, values.applied());
  }

  void fence(long newTerm, String newOwner) {
    enterTerm(newTerm, newOwner, Optional.empty());
    role = MemberRole.FENCED;
  }

  /**
   * Becomes the primary of the current term: applies all entries, and appends the no-op entry of
   * the term unless the log already ends in this term.
   */
  void becomePrimary() {
    enterTerm(term, owner, Optional.of(self));
    role = MemberRole.PRIMARY;
    applyUpTo(log.last().index());
    if (log.last().term() < term) {
      appendAsPrimary(LogEntry.noOp(nextPosition()));
    }
  }

  /** Appends an entry as the primary and applies it. */
  void appendAsPrimary(LogEntry entry) {
    append(entry);
    applyUpTo(entry.position().index());
  }

  void follow(long newTerm, MemberId newPrimary) {
    enterTerm(newTerm, newTerm == term ? owner : "", Optional.of(newPrimary));
    role = MemberRole.REPLICA;
  }

  Position nextPosition() {
    return new Position(term, log.last().index() + 1);
  }

  void append(LogEntry entry) {
    log.append(entry);
    outbox.persist(new JournalRecord.Appended(entry));
  }

  void truncateAfter(long index) {
    log.truncateAfter(index);
    outbox.persist(new JournalRecord.Truncated(index));
    if (values.applied().index() > index) {
      values.reset();
      applyUpTo(index);
    }
  }

  void applyUpTo(long index) {
    long end = Math.min(index, log.last().index());
    for (long i = values.applied().index() + 1; i <= end; i++) {
      values.apply(log.entry(i));
    }
  }

  /**
   * Restores the state from the journal records of an earlier run. The member stays fenced until it
   * is promoted or told to follow a primary.
   */
  void restore(List<JournalRecord> records) {
    for (JournalRecord journalRecord : records) {
      if (journalRecord instanceof JournalRecord.TermEntered entered) {
        term = entered.term();
        owner = entered.owner();
        primary = entered.primary();
      } else if (journalRecord instanceof JournalRecord.Appended appended) {
        log.append(appended.entry());
      } else if (journalRecord instanceof JournalRecord.Truncated truncated) {
        log.truncateAfter(truncated.index());
      }
    }
    applyUpTo(log.last().index());
  }

  private void enterTerm(long newTerm, String newOwner, Optional<MemberId> newPrimary) {
    if (newTerm == term && primary.isPresent() && !primary.equals(newPrimary)) {
      throw new IllegalStateException("two primaries in term " + newTerm);
    }
    if (newTerm == term && !owner.equals(newOwner)) {
      throw new IllegalStateException("two owners of term " + newTerm);
    }
    term = newTerm;
    owner = newOwner;
    primary = newPrimary;
    matched = false;
    outbox.persist(new JournalRecord.TermEntered(newTerm, newOwner, newPrimary));
  }
}
