package marlford.gateway;

import java.io.IOException;

/**
 * The command line: {@code serve} is one real api gateway, {@code wirehost} the module on the simulator's wire,
 * {@code rehearse} a short run of the former for the build.
 */
public final class Main {
    private static final int USAGE = 2;

    private Main() { }

    public static void main(String[] args) throws IOException, InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> marlford.gateway.net.Node.main(System.getenv("NODE_CONFIG"));
            case "rehearse" -> marlford.gateway.net.StartupRehearsal.run();
            case "wirehost" -> marlford.gateway.wire.Main.main(args);
            default -> {
                System.err.println("usage: deckfall serve | rehearse | wirehost");
                System.exit(USAGE);
            }
        }
    }
}
