package org.sardinebay.standins.driver;

import java.util.List;

/**
 * The straight line with the least squares of distances to some points.
 *
 * <pre>{@code
 * double perDatabase = LineFit.of(points).slope();
 * }</pre>
 *
 * @param slope the growth of y for each x
 * @param intercept y where x is 0
 */
record LineFit(double slope, double intercept) {
  /**
   * A point.
   *
   * @param x the size
   * @param y what was measured
   */
  record Point(double x, double y) {}

  static LineFit of(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
    double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
    double spread = 0;
    double product = 0;
    for (Point point : points) {
      double distance = point.x() - meanX;
      spread += distance * distance;
      product += distance * (point.y() - meanY);
    }
    if (spread == 0) {
      throw new IllegalArgumentException("a line needs points at two sizes");
    }
    double slope = product / spread;
    return new LineFit(slope, meanY - slope * meanX);
  }
}
