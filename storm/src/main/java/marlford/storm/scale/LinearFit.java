package marlford.storm.scale;

import java.util.List;

/**
 * A straight line by least squares.
 *
 * @param slope change of y for each unit of x
 * @param intercept y where x is 0
 * @param residual root of the mean square of what the line misses, in units of y
 * @param worst the largest single miss, in units of y
 * @param points how many points it was fitted to
 */
public record LinearFit(double slope, double intercept, double residual, double worst, int points) {
    /** One measured point. */
    public record Point(double x, double y) {}

    /** @throws IllegalArgumentException where there are fewer than two different x */
    public static LinearFit of(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(Double.NaN);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(Double.NaN);
        double spread = points.stream().mapToDouble(p -> square(p.x() - meanX)).sum();
        if (!(spread > 0)) {
            throw new IllegalArgumentException("a line needs two different x");
        }
        double together = points.stream()
                .mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY))
                .sum();
        double slope = together / spread;
        double intercept = meanY - slope * meanX;
        double[] misses = points.stream()
                .mapToDouble(p -> p.y() - intercept - slope * p.x())
                .toArray();
        double squares = 0;
        double worst = 0;
        for (double miss : misses) {
            squares += square(miss);
            worst = Math.max(worst, Math.abs(miss));
        }
        return new LinearFit(slope, intercept, Math.sqrt(squares / points.size()), worst, points.size());
    }

    private static double square(double x) {
        return x * x;
    }
}
