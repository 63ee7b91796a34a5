package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.DatabaseId;
import org.sardinebay.internal.process.InvariantName;

class TermClaimsTest {
  private static final DatabaseId DATABASE = new DatabaseId("contracts-1");

  private final List<InvariantName> violations = new ArrayList<>();
  private final TermClaims termClaims = new TermClaims((name, detail) -> violations.add(name));

  @Nested
  class Claims {
    @Test
    void should_allow_one_driver_to_claim_a_term_repeatedly() {
      termClaims.claimed(DATABASE, 3, "p1#1");
      termClaims.claimed(DATABASE, 3, "p1#1");

      assertThat(violations).isEmpty();
    }

    @Test
    void should_report_a_term_with_two_drivers() {
      termClaims.claimed(DATABASE, 3, "p1#1");
      termClaims.claimed(DATABASE, 3, "p2#1");

      assertThat(violations).containsExactly(InvariantName.TERM_HAS_ONE_DRIVER);
    }

    @Test
    void should_ignore_late_claims_of_older_terms() {
      termClaims.claimed(DATABASE, 3, "p1#1");
      termClaims.claimed(DATABASE, 2, "p2#1");

      assertThat(violations).isEmpty();
    }
  }
}
