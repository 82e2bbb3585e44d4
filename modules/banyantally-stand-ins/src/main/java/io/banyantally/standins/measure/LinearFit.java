package io.banyantally.standins.measure;

import java.util.List;

/** A straight line fitted to measured points by least squares. */
record LinearFit(double slope, double intercept) {

    record Point(double units, double value) {}

    static LinearFit fit(List<Point> points) {
        if (points.size() < 2) {
            throw new IllegalArgumentException(points.size() + " points do not determine a line; measure 2 or more");
        }
        double meanUnits = points.stream().mapToDouble(Point::units).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.units() - meanUnits) * (point.value() - meanValue);
            variance += (point.units() - meanUnits) * (point.units() - meanUnits);
        }
        double slope = covariance / variance;
        return new LinearFit(slope, meanValue - slope * meanUnits);
    }
}
