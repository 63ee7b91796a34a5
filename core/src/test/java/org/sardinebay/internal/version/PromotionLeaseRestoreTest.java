package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.platform.ObjectVersion;

/**
 * Hosts that read and write the record of the promotion lease at random, in a store that comes back
 * from older copies. Guards against two holders at once and against tokens that fall.
 */
class PromotionLeaseRestoreTest {
  private static final int HOSTS = 3;
  private static final int STEPS = 400;
  private static final int MAX_STEP_MILLIS = 400;

  @Property(tries = 1_000)
  void should_never_let_two_hosts_act_at_once_nor_lower_a_token(@ForAll long seed) {
    new History(new Random(seed)).run();
  }

  /** A lease of a host, and when it ends. */
  private record Grant(int host, long token, long until) {}

  private record StoredRecord(
      Optional<PromotionLeaseClaim.LeaseRecord> content, long version, long storeRevision) {}

  private static final class History {
    private final Random random;
    private final List<StoreEra> eras = new ArrayList<>();
    private final List<PromotionLeaseClaim> claims = new ArrayList<>();
    private final List<Grant> grants = new ArrayList<>();
    private final List<StoredRecord> copies = new ArrayList<>();
    private StoredRecord stored = new StoredRecord(Optional.empty(), 1, 1);
    private long storeEra = 1;
    private long now;

    History(Random random) {
      this.random = random;
      for (int i = 0; i < HOSTS; i++) {
        eras.add(new StoreEra(() -> now));
        claims.add(new PromotionLeaseClaim("host-" + i, "start-1", eras.get(i)));
      }
    }

    void run() {
      for (int i = 0; i < STEPS; i++) {
        now += random.nextInt(MAX_STEP_MILLIS);
        step(random.nextInt(HOSTS));
      }
    }

    private void step(int host) {
      switch (random.nextInt(20)) {
        case 0 -> copies.add(stored);
        case 1 -> restore();
        case 2 -> changeAnotherObject();
        case 3, 4, 5, 6, 7, 8 -> read(claims.get(host), eras.get(host));
        default -> write(host, claims.get(host), eras.get(host));
      }
    }

    private void changeAnotherObject() {
      stored = new StoredRecord(stored.content, stored.version, stored.storeRevision + 1);
    }

    private void restore() {
      if (!copies.isEmpty()) {
        stored = copies.get(random.nextInt(copies.size()));
        storeEra++;
      }
    }

    private void read(PromotionLeaseClaim claim, StoreEra seen) {
      seen.onResponse(storeEra);
      long version = stored.content.isPresent() ? ObjectVersion.of(storeEra, stored.version) : 0;
      claim.onRecord(stored.content, version, now);
    }

    private void write(int host, PromotionLeaseClaim claim, StoreEra seen) {
      if (!claim.mayAcquire(now)) {
        return;
      }
      PromotionLeaseClaim.LeaseRecord next = claim.next();
      long expected = stored.content.isPresent() ? stored.version : 0;
      seen.onResponse(storeEra);
      if (ObjectVersion.revision(claim.version()) != expected) {
        claim.invalidate();
        return;
      }
      long revision = stored.storeRevision + 1;
      stored = new StoredRecord(Optional.of(next), revision, revision);
      if (claim.onWritten(next, ObjectVersion.of(storeEra, revision), now)) {
        check(new Grant(host, next.token(), now + PromotionLeaseClaim.LEASE_MILLIS));
      }
    }

    private void check(Grant granted) {
      for (Grant earlier : grants) {
        if (earlier.host != granted.host) {
          assertThat(earlier.until).isLessThanOrEqualTo(now);
          assertThat(granted.token).isGreaterThan(earlier.token);
        }
        assertThat(granted.token).isGreaterThanOrEqualTo(earlier.token);
      }
      grants.add(granted);
    }
  }
}
