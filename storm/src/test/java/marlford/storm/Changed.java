package marlford.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import javax.tools.ToolProvider;

/** Another version of the program: some of its sources with parts replaced, compiled, before the rest of it. */
final class Changed {
    private static final Path SOURCES = Path.of("..", "fleet", "src", "main", "java");

    private Changed() {}

    /**
     * The class path of the changed program.
     *
     * @param changes by source file: what is replaced, by what, and so on in pairs
     */
    static String program(Path dir, Map<String, List<String>> changes) throws IOException {
        String path = System.getProperty("java.class.path");
        Path classes = Files.createDirectories(dir.resolve("classes"));
        List<String> args = new ArrayList<>(List.of("-nowarn", "-proc:none", "-d", classes.toString(), "-cp", path));
        for (Map.Entry<String, List<String>> c : changes.entrySet()) {
            String source = Files.readString(SOURCES.resolve(c.getKey()));
            for (int i = 0; i < c.getValue().size(); i += 2) {
                assertTrue(
                        source.contains(c.getValue().get(i)),
                        "the place in " + c.getKey() + " has moved: "
                                + c.getValue().get(i));
                source = source.replace(c.getValue().get(i), c.getValue().get(i + 1));
            }
            Path changed = dir.resolve("source").resolve(c.getKey());
            Files.createDirectories(changed.getParent());
            Files.writeString(changed, source);
            args.add(changed.toString());
        }
        assertEquals(0, ToolProvider.getSystemJavaCompiler().run(null, null, null, args.toArray(String[]::new)));
        return classes + File.pathSeparator + path;
    }
}
