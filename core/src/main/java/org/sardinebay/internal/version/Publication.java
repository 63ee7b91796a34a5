package org.sardinebay.internal.version;

import java.util.List;
import java.util.Optional;
import org.sardinebay.DatabaseId;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/**
 * Publishes a primary whose driver ended after the promotion and before it published the primary.
 *
 * <pre>{@code
 * Publication publication = new Publication(database, term, primary, start);
 * List<PromotionEffect> effects = publication.handle(new PromotionEvent.Started(), now);
 * }</pre>
 */
public final class Publication implements PromotionStateMachine {
  private final ObjectKey key;
  private final long term;
  private final MemberId primary;
  private final Position start;
  private long operation;
  private boolean done;

  /**
   * Creates a publication.
   *
   * @param database the database
   * @param term the term of the primary
   * @param primary the primary
   * @param start the position of the first entry of the term
   */
  public Publication(DatabaseId database, long term, MemberId primary, Position start) {
    this.key = PromotionRecord.key(database);
    this.term = term;
    this.primary = primary;
    this.start = start;
  }

  @Override
  public List<PromotionEffect> handle(PromotionEvent event, long nowMillis) {
    if (done) {
      return List.of();
    }
    if (event instanceof PromotionEvent.Started) {
      return List.of(read());
    }
    if (event instanceof PromotionEvent.PlatformReplied replied
        && replied.operation() == operation) {
      return List.of(replied(replied.result()));
    }
    return List.of();
  }

  @Override
  public boolean replaceable() {
    return true;
  }

  private PromotionEffect replied(PlatformResult result) {
    if (result instanceof PlatformResult.Found found) {
      return found(found.object());
    }
    if (result instanceof PlatformResult.Conflict) {
      return read();
    }
    return finish(new PromotionOutcome.Failed(PromotionFailure.PLATFORM_UNAVAILABLE, term));
  }

  private PromotionEffect found(PlatformObject object) {
    Optional<PromotionRecord> found = PromotionRecord.read(object.body());
    if (found.isEmpty()) {
      return finish(new PromotionOutcome.Failed(PromotionFailure.RECORD_UNREADABLE, term));
    }
    PromotionRecord record = found.get();
    if (record.term() == term && record.step() != PromotionStep.PUBLISHED) {
      return write(object.version(), record);
    }
    boolean sameTerm = record.term() == term;
    return finish(
        sameTerm
            ? new PromotionOutcome.Published(record)
            : new PromotionOutcome.Superseded(record));
  }

  private PromotionEffect read() {
    return new PromotionEffect.ReadObject(++operation, key, Promotion.PLATFORM_TIMEOUT_MILLIS);
  }

  private PromotionEffect write(long version, PromotionRecord claimed) {
    PromotionRecord record =
        new PromotionRecord(
            term,
            claimed.driver(),
            PromotionStep.PUBLISHED,
            Optional.of(primary),
            Optional.of(start),
            claimed.cause());
    return new PromotionEffect.WriteObject(
        ++operation, key, version, record, Promotion.PLATFORM_TIMEOUT_MILLIS);
  }

  private PromotionEffect finish(PromotionOutcome outcome) {
    done = true;
    return new PromotionEffect.Finished(outcome);
  }
}
