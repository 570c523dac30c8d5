package org.flamingopitch.daemon.cli;

import java.io.PrintWriter;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.flamingopitch.daemon.log.LogFormat;
import org.flamingopitch.daemon.settings.DocumentException;

/** Finds the command, parses its options and reports errors in one line. */
public final class Main {

    private static final String HELP = "help";

    private Main() {}

    /**
     * Runs the command line and ends the process.
     *
     * @param words the command line
     */
    public static void main(String[] words) {
        LogFormat.install();
        ExitCode code = run(words);
        System.out.flush();
        System.exit(code.code());
    }

    /**
     * Runs the command line.
     *
     * @param words the command line
     * @return the exit code
     */
    public static ExitCode run(String[] words) {
        if (words.length == 0 || words[0].equals("--" + HELP) || words[0].equals(HELP)) {
            printCommands();
            return words.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        try {
            CommandName name = CommandName.find(words[0])
                    .orElseThrow(() -> new UsageException("unknown command \"" + words[0] + "\"; see --help"));
            return run(name, Arrays.copyOfRange(words, 1, words.length));
        } catch (UsageException | ParseException e) {
            return fail(ExitCode.USAGE, e);
        } catch (DocumentException e) {
            return fail(ExitCode.INVALID_DOCUMENT, e);
        } catch (IllegalStateException e) {
            return fail(ExitCode.CANNOT_START, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return fail(ExitCode.FAILED, e);
        }
    }

    private static ExitCode run(CommandName name, String[] words) throws ParseException, InterruptedException {
        Command command = name.create();
        Options options = command.options().addOption(null, HELP, false, "show this help");
        CommandLine line = new DefaultParser().parse(options, words);
        if (line.hasOption(HELP)) {
            printHelp(name, command, options);
            return ExitCode.OK;
        }
        return command.run(line);
    }

    private static ExitCode fail(ExitCode code, Exception error) {
        System.err.println("flamingopitch: " + error.getMessage());
        return code;
    }

    private static void printCommands() {
        PrintWriter out = new PrintWriter(System.out, true);
        out.println("usage: flamingopitch COMMAND [OPTIONS]");
        for (CommandName name : CommandName.values()) {
            out.printf("  %-8s  %s%n", name.word(), name.create().summary());
        }
        out.println("Each command has --help.");
    }

    private static void printHelp(CommandName name, Command command, Options options) {
        System.out.println(command.summary());
        String syntax = "flamingopitch " + name.word() + " " + command.arguments();
        try {
            HelpFormatter.builder().setShowSince(false).get().printHelp(syntax, "", options, "", true);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
