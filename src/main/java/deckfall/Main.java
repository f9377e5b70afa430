package deckfall;

import java.io.IOException;

/** The command line: {@code serve} is one real api gateway, {@code wirehost} the module on the simulator's wire. */
public final class Main {
    private static final int USAGE = 2;

    private Main() { }

    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> deckfall.net.Node.main(System.getenv("NODE_CONFIG"));
            case "wirehost" -> deckfall.wire.Main.main(args);
            default -> {
                System.err.println("usage: deckfall serve | wirehost");
                System.exit(USAGE);
            }
        }
    }
}
