package marlford.storm.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LinearFitTest {
    private static LinearFit.Point point(double x, double y) {
        return new LinearFit.Point(x, y);
    }

    @Test
    void aLineIsFoundAgain() {
        LinearFit fit = LinearFit.of(List.of(point(1, 5), point(2, 7), point(4, 11), point(8, 19)));
        assertEquals(new LinearFit(2, 3, 0, 0, 4), fit);
    }

    @Test
    void whatTheLineMissesIsSaid() {
        LinearFit fit = LinearFit.of(List.of(point(0, 1), point(0, -1), point(2, 1), point(2, -1)));
        assertEquals(new LinearFit(0, 0, 1, 1, 4), fit);
    }

    @Test
    void onePlaceMakesNoLine() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(List.of(point(1, 5), point(1, 7))));
    }

    @Test
    void threeSettingsAreNotFitted() {
        List<MeasuredPoint> points = List.of(measured(1), measured(2), measured(3));
        assertEquals(List.of(), FittedSlope.of(points, List.of("x", "y")));
        List<MeasuredPoint> four = List.of(measured(1), measured(2), measured(3), measured(4));
        assertEquals(1, FittedSlope.of(four, List.of("x", "y")).size());
    }

    private static MeasuredPoint measured(double x) {
        return new MeasuredPoint(Map.of("x", x), Map.of("cost", 3 * x));
    }
}
