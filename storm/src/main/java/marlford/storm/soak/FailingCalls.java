package marlford.storm.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.Random;

/**
 * Failing system calls and wrong wall clocks of real processes, by a small library that is loaded into them. It is built from
 * {@code failing_calls.c} by the C compiler {@code cc}; the same seed gives a process the same draws.
 */
final class FailingCalls {
    private static final String SOURCE = "failing_calls.c";
    private static final int FAILING_ONE_IN = 3; // lives
    private static final int WRONG_ONE_IN = 3;
    private static final int CALLS_ONE_IN = 10;
    private static final long[] CLOCK_ERRORS_MS = {-3_600_000, -3000, 3000, 3_600_000};

    private final Path library;

    private FailingCalls(Path library) {
        this.library = library;
    }

    /** Builds the library in this folder. */
    static FailingCalls build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream in = FailingCalls.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Path library = folder.resolve("failing_calls.so").toAbsolutePath();
        Process compiler = new ProcessBuilder(
                        "cc", "-O2", "-shared", "-fPIC", "-o", library.toString(), source.toString(), "-ldl")
                .inheritIO()
                .start();
        if (compiler.waitFor() != 0) {
            throw new IOException("cc failed on " + source);
        }
        return new FailingCalls(library);
    }

    /** Draws what one life of a process meets, and adds it to the environment that it is started with. */
    void draw(Random random, Map<String, String> environment) {
        int rate = random.nextInt(FAILING_ONE_IN) == 0 ? CALLS_ONE_IN : 0;
        boolean wrong = random.nextInt(WRONG_ONE_IN) == 0;
        long error = wrong ? CLOCK_ERRORS_MS[random.nextInt(CLOCK_ERRORS_MS.length)] : 0;
        environment.put("LD_PRELOAD", library.toString());
        environment.put("SOAK_SEED", Long.toString(random.nextInt(Integer.MAX_VALUE)));
        environment.put("SOAK_ONE_IN", Integer.toString(rate));
        environment.put("SOAK_CLOCK_MS", Long.toString(error));
    }
}
