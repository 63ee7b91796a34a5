package org.sardinebay.standins.driver;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LineFitTest {
  private static final double TOLERANCE = 1e-9;

  @Nested
  class Points {
    @Test
    void should_find_slope_and_intercept_of_points_on_a_line() {
      List<LineFit.Point> points = List.of(point(1, 5), point(2, 7), point(4, 11), point(8, 19));

      LineFit fit = LineFit.of(points);

      assertThat(fit.slope()).isCloseTo(2, within(TOLERANCE));
      assertThat(fit.intercept()).isCloseTo(3, within(TOLERANCE));
    }

    @Test
    void should_fit_points_off_a_line_by_least_squares() {
      List<LineFit.Point> points = List.of(point(0, 0), point(1, 2), point(2, 1));

      LineFit fit = LineFit.of(points);

      assertThat(fit.slope()).isCloseTo(0.5, within(TOLERANCE));
      assertThat(fit.intercept()).isCloseTo(0.5, within(TOLERANCE));
    }

    @Test
    void should_reject_points_that_share_one_x_value() {
      List<LineFit.Point> points = List.of(point(3, 1), point(3, 2));

      assertThatThrownBy(() -> LineFit.of(points)).isInstanceOf(IllegalArgumentException.class);
    }
  }

  private static LineFit.Point point(double x, double y) {
    return new LineFit.Point(x, y);
  }
}
