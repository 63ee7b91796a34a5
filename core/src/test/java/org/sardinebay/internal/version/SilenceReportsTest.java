package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.FailureDomain;

class SilenceReportsTest {
  private static final FailureDomain WACO = new FailureDomain("waco-hall");
  private static final FailureDomain LUBBOCK = new FailureDomain("lubbock-hall");
  private static final FailureDomain VICTORIA = new FailureDomain("victoria-hall");
  private static final Set<FailureDomain> ALL = Set.of(WACO, LUBBOCK, VICTORIA);
  private static final long TERM = 4;

  private final SilenceReports reports = new SilenceReports();

  @Nested
  class Conclusive {
    @Test
    void should_be_true_when_two_of_three_failure_domains_report_silence() {
      reports.reported(WACO, TERM, 600, 1_000);
      reports.reported(LUBBOCK, TERM, 500, 1_000);
      reports.reported(VICTORIA, TERM, 20, 1_000);

      assertThat(reports.conclusive(ALL, TERM, 1_000)).isTrue();
    }

    @Test
    void should_be_false_when_only_one_host_is_partitioned_from_the_primary() {
      reports.reported(WACO, TERM, 60_000, 1_000);
      reports.reported(LUBBOCK, TERM, 20, 1_000);

      assertThat(reports.conclusive(ALL, TERM, 1_000)).isFalse();
    }

    @Test
    void should_be_false_for_reports_about_another_term() {
      reports.reported(WACO, TERM, 600, 1_000);
      reports.reported(LUBBOCK, TERM - 1, 600, 1_000);

      assertThat(reports.conclusive(ALL, TERM, 1_000)).isFalse();
    }

    @Test
    void should_be_false_for_outdated_reports() {
      reports.reported(WACO, TERM, 600, 1_000);
      reports.reported(LUBBOCK, TERM, 600, 1_000);

      assertThat(reports.conclusive(ALL, TERM, 2_000)).isFalse();
    }
  }
}
