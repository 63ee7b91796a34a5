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

  /**
   * Fits a line.
   *
   * @throws IllegalArgumentException if the points have fewer than two different x values
   */
  static LineFit of(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
    double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
    double sumOfSquares = 0;
    double sumOfProducts = 0;
    for (Point point : points) {
      double deviation = point.x() - meanX;
      sumOfSquares += deviation * deviation;
      sumOfProducts += deviation * (point.y() - meanY);
    }
    if (sumOfSquares == 0) {
      throw new IllegalArgumentException(
          "a line fit needs points with at least two different x values");
    }
    double slope = sumOfProducts / sumOfSquares;
    return new LineFit(slope, meanY - slope * meanX);
  }
}
