package marlford.gateway.net;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.FormattingTuple;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;

/**
 * One plain line for each thing that netty tells of, from its information on. The system's own logging costs a start a
 * tenth of its processor time, and its handler reads the time zones' file for its first line: where that line says that
 * no descriptor is left, this would end the event loop.
 */
final class StderrLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    /** Makes this netty's only log. */
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

    private static void line(String level, FormattingTuple said) {
        line(level, said.getMessage(), said.getThrowable());
    }

    private static void line(String level, String message, Throwable thrown) {
        Node.log(level + ' ' + message + (thrown == null ? "" : " " + thrown));
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
    public void trace(String format, Object... all) { }

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
    public void debug(String format, Object... all) { }

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
    public void info(String format, Object... all) {
        line("INFO", MessageFormatter.arrayFormat(format, all));
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
    public void warn(String format, Object... all) {
        line("WARNING", MessageFormatter.arrayFormat(format, all));
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
    public void error(String format, Object... all) {
        line("SEVERE", MessageFormatter.arrayFormat(format, all));
    }

    @Override
    public void error(String message, Throwable thrown) {
        line("SEVERE", message, thrown);
    }
}
