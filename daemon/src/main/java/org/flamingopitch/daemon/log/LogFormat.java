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

/** Writes one line of key=value pairs for each event. */
public final class LogFormat extends Formatter {

    private LogFormat() {}

    /** Sends all logs to standard error in this format, for commands whose standard output is their result. */
    public static void install() {
        ConsoleHandler handler = new ConsoleHandler();
        handler.setFormatter(new LogFormat());
        install(handler);
    }

    /**
     * Sends all logs to standard output in this format, without waiting for the reader.
     *
     * @return the running handler
     */
    public static BoundedLogHandler installBounded() {
        BoundedLogHandler handler = new BoundedLogHandler(new FileOutputStream(FileDescriptor.out), new LogFormat());
        handler.start();
        install(handler);
        return handler;
    }

    private static void install(Handler handler) {
        Logger root = Logger.getLogger("");
        for (Handler former : root.getHandlers()) {
            root.removeHandler(former);
        }
        root.addHandler(handler);
        Logger.getLogger("org.xnio").setLevel(Level.WARNING);
        Logger.getLogger("io.undertow").setLevel(Level.WARNING);
    }

    @Override
    public String format(LogRecord record) {
        String message = formatMessage(record);
        String text = message.startsWith("event=") ? message : "event=log detail=\"" + oneLine(message) + "\"";
        String line = "time=" + record.getInstant() + " level=" + record.getLevel() + " logger="
                + record.getLoggerName() + " " + text;
        if (record.getThrown() != null) {
            StringWriter trace = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(trace));
            line += " trace=\"" + oneLine(trace.toString()) + "\"";
        }
        return line + "\n";
    }

    private static String oneLine(String text) {
        return text.replace('"', '\'').replace("\r", "").replace("\n", "\\n").replace("\t", " ");
    }
}
