package marlford.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.time.LocalTime;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import marlford.gateway.net.GatewayExtensions;
import marlford.gateway.net.Node;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line of a member of the fleet. */
@Command(
        name = "marlford",
        mixinStandardHelpOptions = true,
        description = "A gateway of a fleet that agrees.",
        subcommands = {Main.Serve.class, Main.Agent.class, Main.Check.class, Main.Permit.class})
public final class Main {
    private static final int NOT_HAD = 4;
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");

    private Main() {}

    public static void main(String[] args) {
        int code = new CommandLine(new Main()).execute(args);
        if (code != ExitCode.OK) {
            System.exit(code);
        }
    }

    /** One line, with the time of day: what several processes say is read together. */
    private static void log(String line) {
        System.err.println(TIME.format(LocalTime.now()) + ' ' + line);
    }

    /** What every command needs to know of the fleet. */
    static final class FleetOptions {
        @Option(names = "--fleet", required = true, paramLabel = "FILE", description = "the fleet's settings (JSON)")
        private Path file;

        @Option(names = "--name", description = "this process's name, over what the file says")
        private String name;

        FleetConfig read() throws FleetConfig.BadFleet {
            return FleetConfig.read(file, name);
        }

        /** Starts, and leaves in order where the process is asked to end; null, with the reason logged, where it can't. */
        Fleet start() throws IOException, InterruptedException {
            try {
                Fleet fleet = new Fleet(read(), Main::log);
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::leave));
                fleet.start();
                return fleet;
            } catch (FleetConfig.BadFleet | IllegalArgumentException e) {
                log("marlford: " + e.getMessage());
                return null;
            }
        }
    }

    /** The gateway and its part in the fleet. */
    @Command(name = "serve", description = "serve clients ($NODE_CONFIG) and take part in the fleet")
    static final class Serve implements Callable<Integer> {
        @CommandLine.Mixin
        private FleetOptions fleet = new FleetOptions();

        @Override
        public Integer call() throws Exception {
            Fleet started = fleet.start();
            if (started == null) {
                return ExitCode.USAGE;
            }
            Node.main(
                    System.getenv("NODE_CONFIG"),
                    new GatewayExtensions(
                            Map.of("/admin/fleet", started::text), started.usage(), started.lists(), started::serving));
            return ExitCode.OK;
        }
    }

    /** Its part in the fleet alone. */
    @Command(name = "agent", description = "take part in the fleet without serving clients")
    static final class Agent implements Callable<Integer> {
        @CommandLine.Mixin
        private FleetOptions fleet = new FleetOptions();

        @Override
        public Integer call() throws Exception {
            if (fleet.start() == null) {
                return ExitCode.USAGE;
            }
            log("marlford: takes part");
            Thread.currentThread().join();
            return ExitCode.OK;
        }
    }

    /** Whether a file of settings can be used. */
    @Command(name = "check", description = "check the fleet's settings and say what is wrong")
    static final class Check implements Callable<Integer> {
        @CommandLine.Mixin
        private FleetOptions fleet = new FleetOptions();

        @Override
        public Integer call() {
            try {
                FleetConfig c = fleet.read();
                log("marlford: " + c.name() + " of " + c.fleet() + ", voters "
                        + c.voters().keySet());
                return ExitCode.OK;
            } catch (FleetConfig.BadFleet e) {
                log("marlford: " + e.getMessage());
                return ExitCode.USAGE;
            }
        }
    }

    /** The restart budget: whatever restarts a gateway does it under a permit, of which there are few. */
    @Command(name = "permit", description = "run a command while holding one of a number of permits of the fleet")
    static final class Permit implements Callable<Integer> {
        @CommandLine.Mixin
        private FleetOptions fleet = new FleetOptions();

        @Option(names = "--lease", defaultValue = "restart", description = "what the permit is for (${DEFAULT-VALUE})")
        private String lease;

        @Option(names = "--at-once", defaultValue = "1", description = "how many there are (${DEFAULT-VALUE})")
        private int limit;

        @Option(
                names = "--wait",
                defaultValue = "60",
                description = "how long to wait for one, in seconds (${DEFAULT-VALUE})")
        private long seconds;

        @Parameters(arity = "1..*", paramLabel = "COMMAND", description = "what to run; its end gives the permit back")
        private List<String> command;

        @Override
        public Integer call() throws Exception {
            Fleet started = fleet.start();
            if (started == null) {
                return ExitCode.USAGE;
            }
            try {
                long token = started.hold(lease, limit).get(seconds, TimeUnit.SECONDS);
                log("marlford: permit " + token);
                ProcessBuilder b = new ProcessBuilder(command).inheritIO();
                b.environment().put("FENCING_TOKEN", Long.toString(token));
                int code = b.start().waitFor();
                System.exit(code); // by way of the hook that gives the permit back
                return code;
            } catch (TimeoutException e) {
                log("marlford: no permit within " + seconds + " s");
                return NOT_HAD;
            } catch (ExecutionException e) {
                log("marlford: " + e.getCause());
                return NOT_HAD;
            }
        }
    }
}
