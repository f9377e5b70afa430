package marlford.gateway.net;

/**
 * Ends the process on errors after which it would hold its addresses and serve nobody: the platform starts a new one only when this
 * one has ended. May be used from any thread.
 */
final class FatalErrors {
    private static final int EXIT_STATUS = 3; // the same as that of the virtual machine's option ExitOnOutOfMemoryError

    private FatalErrors() { }

    /** Ends the process when a thread ends by lack of memory. */
    static void install() {
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            Node.log("defect: the thread " + thread.getName() + " ended: " + thrown);
            endIfOutOfMemory(thrown);
        });
    }

    /** Ends the process at once if the error, or its cause, is a lack of memory; otherwise does nothing. */
    static void endIfOutOfMemory(Throwable thrown) {
        for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
            if (cause instanceof OutOfMemoryError) {
                end("no memory is left: " + cause);
            }
        }
    }

    /** Ends the process at once, without answering its open requests. */
    static void end(String reason) {
        try {
            Node.log("defect: the process ends, because " + reason);
        } finally {
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }
}
