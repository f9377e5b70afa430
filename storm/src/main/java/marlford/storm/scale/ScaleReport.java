package marlford.storm.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The result of one command, as it is kept.
 *
 * @param command that gives it again
 * @param commit of the program
 * @param seed all chance is drawn from it
 * @param machine what it ran on
 * @param tookSeconds of the machine's time
 * @param points measured
 * @param fits of the sweeps among them
 */
public record ScaleReport(
        String command,
        String commit,
        long seed,
        Machine machine,
        double tookSeconds,
        List<MeasuredPoint> points,
        List<FittedSlope> fits) {
    private static final String COUNTER = "counter_"; // these figures are in the file alone
    private static final int NAME_WIDTH = 32;

    void write(Path file) throws IOException {
        Path folder = file.toAbsolutePath().getParent();
        Files.createDirectories(folder);
        ObjectMapper json = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        Files.writeString(file, json.writeValueAsString(this) + '\n');
    }

    void print(PrintStream out) {
        out.println("again: " + command);
        points.forEach(point -> print(out, point));
        if (!fits.isEmpty()) {
            out.println("fits (least squares):");
            fits.stream().filter(f -> !f.figure().startsWith(COUNTER)).forEach(fit -> print(out, fit));
        }
    }

    static void print(PrintStream out, MeasuredPoint point) {
        out.println(text(point.settings()));
        point.figures().forEach((name, value) -> {
            if (!name.startsWith(COUNTER)) {
                out.printf(Locale.ROOT, "  %-" + NAME_WIDTH + "s %s%n", name, number(value));
            }
        });
    }

    private static void print(PrintStream out, FittedSlope fit) {
        LinearFit line = fit.line();
        out.printf(
                Locale.ROOT,
                "  %s by %s, %s to %s: %s + %s * x, residual %s, worst %s (%s)%n",
                fit.figure(),
                fit.variable(),
                number(fit.from()),
                number(fit.to()),
                number(line.intercept()),
                number(line.slope()),
                number(line.residual()),
                number(line.worst()),
                text(fit.held()));
    }

    private static String text(Map<String, Object> settings) {
        return settings.entrySet().stream()
                .map(e -> e.getKey() + "=" + e.getValue())
                .collect(Collectors.joining(" "));
    }

    private static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e12
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.4g", value);
    }
}
