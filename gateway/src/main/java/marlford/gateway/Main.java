package marlford.gateway;

import java.io.IOException;

/**
 * The command line: {@code serve} runs a gateway, {@code rehearse} runs it for a short time for the build, and {@code wirehost} runs
 * decision engines for the simulator.
 */
public final class Main {
    private static final int USAGE_EXIT_STATUS = 2;

    private Main() { }

    public static void main(String[] args) throws IOException, InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> marlford.gateway.net.Node.main(System.getenv("NODE_CONFIG"));
            case "rehearse" -> marlford.gateway.net.StartupRehearsal.run();
            case "wirehost" -> marlford.gateway.wire.Main.main(args);
            default -> {
                System.err.println("usage: deckfall serve | rehearse | wirehost");
                System.exit(USAGE_EXIT_STATUS);
            }
        }
    }
}
