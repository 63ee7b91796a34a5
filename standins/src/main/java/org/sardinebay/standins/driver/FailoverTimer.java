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
   * The times at which a promotion reached its steps, in milliseconds on the driver's clock.
   *
   * @param startMillis when the fault started
   * @param claimedMillis when the promotion object first had a higher term; empty if it had none
   *     before the timeout
   * @param publishedMillis when the new primary was published; empty if it was not published before
   *     the timeout
   */
  record Steps(long startMillis, OptionalLong claimedMillis, OptionalLong publishedMillis) {}

  long term(String database) {
    return controls
        .readObject("promotions", database)
        .map(promotion -> promotion.path("body").path("term").asLong())
        .orElse(0L);
  }

  /** Waits until a higher term is published or the timeout expires. */
  Steps awaitPromotion(String database, long term, long startMillis, long timeoutMillis)
      throws InterruptedException {
    OptionalLong claimed = OptionalLong.empty();
    while (clock.millis() < startMillis + timeoutMillis) {
      Optional<JsonNode> body =
          controls.readObject("promotions", database).map(promotion -> promotion.path("body"));
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
