package org.flamingopitch.daemon.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Writes one line of key=value pairs for each event. */
public final class LogFormat extends Formatter {

    private LogFormat() {}

    /** Sends all logs to standard error in this format. */
    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler handler = new ConsoleHandler();
        handler.setFormatter(new LogFormat());
        root.addHandler(handler);
        Logger.getLogger("org.xnio").setLevel(java.util.logging.Level.WARNING);
        Logger.getLogger("io.undertow").setLevel(java.util.logging.Level.WARNING);
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
