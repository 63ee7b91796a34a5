package org.sardinebay.standins.driver;

import java.util.List;

/**
 * A straight line fitted to points by least squares.
 *
 * <pre>{@code
 * double perDatabase = LineFit.of(points).slope();
 * }</pre>
 *
 * @param slope the increase of y per unit of x
 * @param intercept the value of y at x = 0
 */
record LineFit(double slope, double intercept) {
  /**
   * A measured point.
   *
   * @param x the size
   * @param y the measured value
   */
  record Point(double x, double y) {}

  static LineFit of(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
    double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
    double squares = 0;
    double products = 0;
    for (Point point : points) {
      double deviation = point.x() - meanX;
      squares += deviation * deviation;
      products += deviation * (point.y() - meanY);
    }
    if (squares == 0) {
      throw new IllegalArgumentException(
          "a line fit needs points with at least two different x values");
    }
    double slope = products / squares;
    return new LineFit(slope, meanY - slope * meanX);
  }
}
