package org.flamingopitch.daemon.cli;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.daemon.analysis.AnalysisTable;
import org.flamingopitch.daemon.analysis.Dimension;
import org.flamingopitch.daemon.analysis.LogAnalysis;
import org.flamingopitch.daemon.analysis.LogAnalyzer;
import org.flamingopitch.daemon.analysis.WindowChart;
import org.flamingopitch.daemon.settings.InvalidDocumentException;

/** Prints statistics of the jobs in the log files of all hosts. */
final class AnalyzeCommand implements Command {

    private static final String STANDARD_INPUT = "-";

    private static final String BY = "by";

    private static final String DATA_CENTRE = "data-centre";

    private static final String JSON = "json";

    private static final String PLOT = "plot";

    @Override
    public String summary() {
        return "Prints statistics of the jobs in the log files of all hosts.";
    }

    @Override
    public String usage() {
        return "[--by DIMENSION[,DIMENSION...]] [--data-centre REGEX] [--json] [--plot FILE.png] [LOG...]";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(option(
                        BY,
                        "DIMENSIONS",
                        "one table by all of these, separated by commas: queue, size, data-centre, window;"
                                + " without it one table for each"))
                .addOption(option(
                        DATA_CENTRE,
                        "REGEX",
                        "matches a host's name; its first group is the data centre; without it the name less the"
                                + " number at its end"))
                .addOption(null, JSON, false, "print JSON instead of tables")
                .addOption(option(PLOT, "FILE.png", "also draw arrivals, rejections and completions per window"));
    }

    @Override
    public ExitCode run(CommandLine line) {
        List<List<Dimension>> groupings = groupings(line);
        LogAnalyzer analyzer = new LogAnalyzer(dataCentrePattern(line));
        List<String> logs = line.getArgList().isEmpty() ? List.of(STANDARD_INPUT) : line.getArgList();
        try {
            logs.forEach(log -> read(analyzer, log));
        } catch (OutOfMemoryError e) {
            // The launcher limits the heap to what a host needs, which is too little for long logs.
            System.err.println("flamingopitch: the logs do not fit into the heap; set FLAMINGOPITCH_JAVA_OPTS=-Xmx1g");
            return ExitCode.FAILED;
        }
        if (analyzer.isEmpty()) {
            throw new InvalidDocumentException(String.join(", ", logs), List.of("no line is a readable log line"));
        }
        LogAnalysis analysis = analyzer.analyze(groupings);
        System.out.print(
                line.hasOption(JSON)
                        ? JsonCodec.json().encode(analysis) + System.lineSeparator()
                        : AnalysisTable.format(analysis));
        return line.hasOption(PLOT) ? plot(analyzer, line.getOptionValue(PLOT)) : ExitCode.OK;
    }

    private static void read(LogAnalyzer analyzer, String log) {
        try {
            if (log.equals(STANDARD_INPUT)) {
                analyzer.read(new InputStreamReader(System.in, StandardCharsets.UTF_8), "");
                return;
            }
            Path file = Path.of(log);
            // Unlike Files.newBufferedReader, this replaces malformed characters, which occur where a line was cut.
            try (Reader reader = new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8)) {
                analyzer.read(reader, nameWithoutExtension(file));
            }
        } catch (IOException e) {
            throw new InvalidDocumentException(log, List.of("cannot be read: " + reason(e)));
        }
    }

    private static String nameWithoutExtension(Path file) {
        String name = file.getFileName().toString();
        int extension = name.lastIndexOf('.');
        return extension > 0 ? name.substring(0, extension) : name;
    }

    private static ExitCode plot(LogAnalyzer analyzer, String file) {
        try {
            WindowChart.write(analyzer.windowCounts(), Path.of(file));
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println("flamingopitch: " + file + ": the chart cannot be written: " + reason(e));
            return ExitCode.FAILED;
        }
    }

    /** The messages of some exceptions consist of the file's name only, so the type is part of the reason. */
    private static String reason(IOException error) {
        return error.getClass().getSimpleName() + ": " + error.getMessage();
    }

    private static List<List<Dimension>> groupings(CommandLine line) {
        if (!line.hasOption(BY)) {
            return Arrays.stream(Dimension.values()).map(List::of).toList();
        }
        List<Dimension> dimensions = new ArrayList<>();
        for (String label : line.getOptionValue(BY).split(",", -1)) {
            dimensions.add(Dimension.find(label)
                    .orElseThrow(() -> new UsageException(
                            "--by: unknown dimension \"" + label + "\"; use queue, size, data-centre or window")));
        }
        return List.of(dimensions);
    }

    private static Pattern dataCentrePattern(CommandLine line) {
        String regex = line.getOptionValue(DATA_CENTRE, LogAnalyzer.DEFAULT_DATA_CENTRE_PATTERN);
        Pattern pattern;
        try {
            pattern = Pattern.compile(regex);
        } catch (PatternSyntaxException e) {
            throw new UsageException("--data-centre: " + e.getDescription() + ": " + regex);
        }
        if (pattern.matcher("").groupCount() == 0) {
            throw new UsageException(
                    "--data-centre: " + regex + " has no group; enclose the data centre in parentheses");
        }
        return pattern;
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }
}
