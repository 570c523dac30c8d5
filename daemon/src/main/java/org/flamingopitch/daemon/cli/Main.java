package org.flamingopitch.daemon.cli;

import java.io.PrintWriter;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.flamingopitch.daemon.log.KeyValueLogFormatter;
import org.flamingopitch.daemon.settings.InvalidDocumentException;

/** Entry point: runs the command named by the first argument and reports errors in one line on standard error. */
public final class Main {

    private static final String HELP = "help";

    private Main() {}

    /**
     * Runs a command and exits with its exit code.
     *
     * @param args the name of the command and its arguments
     */
    public static void main(String[] args) {
        KeyValueLogFormatter.installOnStandardError();
        ExitCode code = run(args);
        System.out.flush();
        System.exit(code.code());
    }

    /**
     * Runs a command.
     *
     * @param args the name of the command and its arguments
     * @return the exit code of the process
     */
    public static ExitCode run(String[] args) {
        if (args.length == 0 || args[0].equals("--" + HELP) || args[0].equals(HELP)) {
            printUsage();
            return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        try {
            CommandName name = CommandName.find(args[0])
                    .orElseThrow(() -> new UsageException("unknown command \"" + args[0] + "\"; see --help"));
            return run(name, Arrays.copyOfRange(args, 1, args.length));
        } catch (UsageException | ParseException e) {
            return reportError(ExitCode.USAGE, e);
        } catch (InvalidDocumentException e) {
            return reportError(ExitCode.INVALID_DOCUMENT, e);
        } catch (IllegalStateException e) {
            return reportError(ExitCode.CANNOT_START, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return reportError(ExitCode.FAILED, e);
        }
    }

    private static ExitCode run(CommandName name, String[] args) throws ParseException, InterruptedException {
        Command command = name.create();
        Options options = command.options().addOption(null, HELP, false, "print this help");
        CommandLine line = new DefaultParser().parse(options, args);
        if (line.hasOption(HELP)) {
            printCommandHelp(name, command, options);
            return ExitCode.OK;
        }
        return command.run(line);
    }

    private static ExitCode reportError(ExitCode code, Exception error) {
        System.err.println("flamingopitch: " + error.getMessage());
        return code;
    }

    private static void printUsage() {
        PrintWriter out = new PrintWriter(System.out, true);
        out.println("usage: flamingopitch COMMAND [OPTIONS]");
        for (CommandName name : CommandName.values()) {
            out.printf("  %-8s  %s%n", name.commandLineName(), name.create().summary());
        }
        out.println("Each command accepts --help.");
    }

    private static void printCommandHelp(CommandName name, Command command, Options options) {
        System.out.println(command.summary());
        String syntax = "flamingopitch " + name.commandLineName() + " " + command.usage();
        try {
            HelpFormatter.builder().setShowSince(false).get().printHelp(syntax, "", options, "", true);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
