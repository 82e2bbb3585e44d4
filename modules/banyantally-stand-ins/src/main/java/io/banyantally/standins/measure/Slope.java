package io.banyantally.standins.measure;

import java.util.List;

/** A straight line through measured points, by least squares. */
record Slope(double perUnit, double atZero) {

    /** One measured point. */
    record Point(double units, double value) {}

    static Slope through(List<Point> points) {
        if (points.size() < 2) {
            throw new IllegalArgumentException(points.size() + " points give no slope; measure 2 or more");
        }
        double meanUnits = points.stream().mapToDouble(Point::units).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.units() - meanUnits) * (point.value() - meanValue);
            variance += (point.units() - meanUnits) * (point.units() - meanUnits);
        }
        double perUnit = covariance / variance;
        return new Slope(perUnit, meanValue - perUnit * meanUnits);
    }
}
