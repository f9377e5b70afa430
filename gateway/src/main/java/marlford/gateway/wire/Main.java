package marlford.gateway.wire;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Command line of the simulator's adapter: {@code wirehost} reads lines on standard input and replies on standard output. */
public final class Main {
    private static final int BUFFER_BYTES = 1 << 16;

    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: deckfall wirehost");
            System.exit(2);
        }
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_BYTES);
        BufferedWriter out = new BufferedWriter(
                new OutputStreamWriter(System.out, StandardCharsets.UTF_8), BUFFER_BYTES);
        try {
            new WireHost(in, out).run();
        } catch (WireFormatException fault) {
            System.err.println(fault.getMessage());
            System.exit(1);
        }
    }
}
