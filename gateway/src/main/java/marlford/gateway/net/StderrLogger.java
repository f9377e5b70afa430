package marlford.gateway.net;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.FormattingTuple;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;

/**
 * Writes Netty's log messages of level INFO and above to stderr, one line each. The logging of the JDK takes a tenth of the
 * processor time of a start, and its handler reads the time zone file before its first line. If that line reports that no
 * descriptor is left, reading the file fails and would end the event loop.
 */
final class StderrLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    /** Makes this the only logger of Netty. */
    static void install() {
        InternalLoggerFactory.setDefaultFactory(new InternalLoggerFactory() {
            @Override
            protected InternalLogger newInstance(String name) {
                return new StderrLogger(name);
            }
        });
    }

    private StderrLogger(String name) {
        super(name);
    }

    private static void line(String level, FormattingTuple formatted) {
        line(level, formatted.getMessage(), formatted.getThrowable());
    }

    private static void line(String level, String message, Throwable thrown) {
        Node.log(level + ' ' + message + (thrown == null ? "" : " " + thrown));
        FatalErrors.endIfOutOfMemory(thrown); // Netty logs the errors of tasks and listeners, and goes on
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(String message) { }

    @Override
    public void trace(String format, Object a) { }

    @Override
    public void trace(String format, Object a, Object b) { }

    @Override
    public void trace(String format, Object... arguments) { }

    @Override
    public void trace(String message, Throwable thrown) { }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(String message) { }

    @Override
    public void debug(String format, Object a) { }

    @Override
    public void debug(String format, Object a, Object b) { }

    @Override
    public void debug(String format, Object... arguments) { }

    @Override
    public void debug(String message, Throwable thrown) { }

    @Override
    public boolean isInfoEnabled() {
        return true;
    }

    @Override
    public void info(String message) {
        line("INFO", message, null);
    }

    @Override
    public void info(String format, Object a) {
        line("INFO", MessageFormatter.format(format, a));
    }

    @Override
    public void info(String format, Object a, Object b) {
        line("INFO", MessageFormatter.format(format, a, b));
    }

    @Override
    public void info(String format, Object... arguments) {
        line("INFO", MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void info(String message, Throwable thrown) {
        line("INFO", message, thrown);
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String message) {
        line("WARNING", message, null);
    }

    @Override
    public void warn(String format, Object a) {
        line("WARNING", MessageFormatter.format(format, a));
    }

    @Override
    public void warn(String format, Object a, Object b) {
        line("WARNING", MessageFormatter.format(format, a, b));
    }

    @Override
    public void warn(String format, Object... arguments) {
        line("WARNING", MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void warn(String message, Throwable thrown) {
        line("WARNING", message, thrown);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String message) {
        line("SEVERE", message, null);
    }

    @Override
    public void error(String format, Object a) {
        line("SEVERE", MessageFormatter.format(format, a));
    }

    @Override
    public void error(String format, Object a, Object b) {
        line("SEVERE", MessageFormatter.format(format, a, b));
    }

    @Override
    public void error(String format, Object... arguments) {
        line("SEVERE", MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void error(String message, Throwable thrown) {
        line("SEVERE", message, thrown);
    }
}
