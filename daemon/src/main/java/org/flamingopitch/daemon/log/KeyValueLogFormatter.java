package org.flamingopitch.daemon.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats each log record as one line of key=value pairs, and installs itself at the root logger. */
public final class KeyValueLogFormatter extends Formatter {

    private KeyValueLogFormatter() {}

    /** Writes all logs to standard error in this format, for commands whose standard output is their result. */
    public static void installOnStandardError() {
        ConsoleHandler handler = new ConsoleHandler();
        handler.setFormatter(new KeyValueLogFormatter());
        replaceRootHandlers(handler);
    }

    /**
     * Writes all logs to standard output in this format, from a bounded buffer so that a blocked output does not block
     * the threads that log.
     *
     * @return the started handler
     */
    public static BoundedLogHandler installOnStandardOutput() {
        BoundedLogHandler handler =
                new BoundedLogHandler(new FileOutputStream(FileDescriptor.out), new KeyValueLogFormatter());
        handler.start();
        replaceRootHandlers(handler);
        return handler;
    }

    private static void replaceRootHandlers(Handler handler) {
        Logger root = Logger.getLogger("");
        for (Handler previous : root.getHandlers()) {
            root.removeHandler(previous);
        }
        root.addHandler(handler);
        Logger.getLogger("org.xnio").setLevel(Level.WARNING);
        Logger.getLogger("io.undertow").setLevel(Level.WARNING);
    }

    @Override
    public String format(LogRecord record) {
        String message = formatMessage(record);
        String text = message.startsWith("event=") ? message : "event=log detail=\"" + toSingleLine(message) + "\"";
        String line = "time=" + record.getInstant() + " level=" + record.getLevel() + " logger="
                + record.getLoggerName() + " " + text;
        if (record.getThrown() != null) {
            StringWriter trace = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(trace));
            line += " trace=\"" + toSingleLine(trace.toString()) + "\"";
        }
        return line + "\n";
    }

    private static String toSingleLine(String text) {
        return text.replace('"', '\'').replace("\r", "").replace("\n", "\\n").replace("\t", " ");
    }
}
