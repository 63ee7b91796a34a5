package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Clock;

/** Polls the promotion object of a database on the platform to time the phases of a failover. */
final class FailoverTimer {
  private static final long POLL_MILLIS = 10;
  private static final String PUBLISHED = "published";

  private final ControlClient controls;
  private final Clock clock;

  FailoverTimer(ControlClient controls, Clock clock) {
    this.controls = controls;
    this.clock = clock;
  }

  /**
   * The times at which a promotion reached its steps.
   *
   * @param startMillis when the fault started
   * @param claimedMillis when a promotion driver had claimed the next term; empty if not observed
   * @param publishedMillis when the new primary was published; empty if not before the timeout
   */
  record Steps(long startMillis, OptionalLong claimedMillis, OptionalLong publishedMillis) {}

  long term(String database) {
    return controls
        .object("promotions", database)
        .map(promotion -> promotion.path("body").path("term").asLong())
        .orElse(0L);
  }

  /** Waits until a higher term is published or the timeout expires. */
  Steps awaitPromotion(String database, long term, long startMillis, long timeoutMillis)
      throws InterruptedException {
    OptionalLong claimed = OptionalLong.empty();
    while (clock.millis() < startMillis + timeoutMillis) {
      Optional<JsonNode> body =
          controls.object("promotions", database).map(promotion -> promotion.path("body"));
      if (body.isPresent() && body.get().path("term").asLong() > term) {
        long now = clock.millis();
        claimed = claimed.isPresent() ? claimed : OptionalLong.of(now);
        if (body.get().path("step").asText().equals(PUBLISHED)) {
          return new Steps(startMillis, claimed, OptionalLong.of(now));
        }
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return new Steps(startMillis, claimed, OptionalLong.empty());
  }
}
