package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;

/**
 * A member's term, role, log and applied state. Every change that must outlast a restart leaves a
 * record in the outbox.
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
   * Whether {@code received} confirms anything: the log is a prefix of the log of the term's
   * primary, and holds the entry that opened the term. Without that entry a later promotion could
   * prefer a log that ends in a term between.
   */
  boolean synced() {
    return role == MemberRole.PRIMARY || (matched && log.last().term() == term);
  }

  boolean matched() {
    return matched;
  }

  void matchedPrimary() {
    matched = true;
  }

  /** Why the member can't run what belongs to a term; empty if it leads that term. */
  Optional<EndpointRefusal> refusalInTerm(long named) {
    if (named < term) {
      return Optional.of(EndpointRefusal.STALE_TERM);
    }
    boolean leads = role == MemberRole.PRIMARY && named == term;
    return leads ? Optional.empty() : Optional.of(EndpointRefusal.NOT_PRIMARY);
  }

  EndpointReply.Refused refused(EndpointRefusal refusal) {
    return new EndpointReply.Refused(refusal, term, values.applied());
  }

  void fence(long newTerm, String newOwner) {
    enter(newTerm, newOwner, Optional.empty());
    role = MemberRole.FENCED;
  }

  /** Takes the lead of the current term: applies all, and opens the term unless that was done. */
  void lead() {
    enter(term, owner, Optional.of(self));
    role = MemberRole.PRIMARY;
    applyUpTo(log.last().index());
    if (log.last().term() < term) {
      lead(LogEntry.opening(nextPosition()));
    }
  }

  /** Appends an entry as the primary and applies it. */
  void lead(LogEntry entry) {
    append(entry);
    applyUpTo(entry.position().index());
  }

  void follow(long newTerm, MemberId newPrimary) {
    enter(newTerm, newTerm == term ? owner : "", Optional.of(newPrimary));
    role = MemberRole.REPLICA;
  }

  Position nextPosition() {
    return new Position(term, log.last().index() + 1);
  }

  void append(LogEntry entry) {
    log.append(entry);
    outbox.keep(new JournalRecord.Appended(entry));
  }

  void truncateAfter(long index) {
    log.truncateAfter(index);
    outbox.keep(new JournalRecord.Truncated(index));
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

  /** Takes back what was kept before a restart. The member is fenced until it is told more. */
  void restore(List<JournalRecord> records) {
    for (JournalRecord kept : records) {
      if (kept instanceof JournalRecord.TermEntered entered) {
        term = entered.term();
        owner = entered.owner();
        primary = entered.primary();
      } else if (kept instanceof JournalRecord.Appended appended) {
        log.append(appended.entry());
      } else if (kept instanceof JournalRecord.Truncated truncated) {
        log.truncateAfter(truncated.index());
      }
    }
    applyUpTo(log.last().index());
  }

  private void enter(long newTerm, String newOwner, Optional<MemberId> newPrimary) {
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
    outbox.keep(new JournalRecord.TermEntered(newTerm, newOwner, newPrimary));
  }
}
