package marlford.storm.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * How one figure grows with one variable of a sweep, all other settings held.
 *
 * @param variable the setting that is swept
 * @param figure what was measured
 * @param held the other settings
 * @param from least value of the variable
 * @param to greatest value of the variable
 * @param line by least squares
 */
public record FittedSlope(
        String variable, String figure, Map<String, Object> held, double from, double to, LinearFit line) {
    /** A line through fewer points says nothing of whether it is one. */
    public static final int LEAST_POINTS = 4;

    /** Every figure's slope along each variable that has at least {@link #LEAST_POINTS} values. */
    public static List<FittedSlope> of(List<MeasuredPoint> points, List<String> variables) {
        List<FittedSlope> slopes = new ArrayList<>();
        for (String variable : variables) {
            Map<Map<String, Object>, List<MeasuredPoint>> groups = points.stream()
                    .collect(Collectors.groupingBy(
                            p -> without(p.settings(), variable), LinkedHashMap::new, Collectors.toList()));
            groups.forEach((held, group) -> {
                boolean swept = group.get(0).settings().containsKey(variable);
                if (swept
                        && group.stream()
                                        .mapToDouble(p -> x(p, variable))
                                        .distinct()
                                        .count()
                                >= LEAST_POINTS) {
                    group.get(0).figures().keySet().forEach(figure -> slopes.add(fit(group, variable, figure, held)));
                }
            });
        }
        return slopes;
    }

    private static FittedSlope fit(
            List<MeasuredPoint> group, String variable, String figure, Map<String, Object> held) {
        List<LinearFit.Point> line = group.stream()
                .map(p -> new LinearFit.Point(x(p, variable), p.figures().getOrDefault(figure, 0.0)))
                .toList();
        double from = line.stream().mapToDouble(LinearFit.Point::x).min().orElseThrow();
        double to = line.stream().mapToDouble(LinearFit.Point::x).max().orElseThrow();
        return new FittedSlope(variable, figure, held, from, to, LinearFit.of(line));
    }

    private static double x(MeasuredPoint point, String variable) {
        return ((Number) point.settings().get(variable)).doubleValue();
    }

    private static Map<String, Object> without(Map<String, Object> settings, String variable) {
        Map<String, Object> rest = new LinkedHashMap<>(settings);
        rest.remove(variable);
        return rest;
    }
}
