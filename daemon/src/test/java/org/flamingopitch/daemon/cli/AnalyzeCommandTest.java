package org.flamingopitch.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.imageio.ImageIO;
import org.flamingopitch.coordination.api.JsonCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command reads an excerpt of a day's log with cut and joined lines, and its statistics are those of the lines. */
final class AnalyzeCommandTest {

    private static final String EXCERPT = "/org/flamingopitch/daemon/analysis/day.log";

    @Test
    void tableHasOneRowForEachQueueSizeDataCentreAndWindow() {
        CommandResult result = run("analyze", excerpt());
        assertThat(result.code).isEqualTo(ExitCode.OK);
        assertThat(result.output)
                .contains("222 lines from -18.626 to 46.3334, 8 unreadable, 10 cut or joined, 0 records incomplete")
                .containsPattern("(?m)^queue-2 +6 +3 +3 .* 6 +0 +0  rejected: backlog 3;")
                .containsPattern("(?m)^largest +1 ")
                .containsPattern("(?m)^host-b +0 +5 ")
                .containsPattern("(?m)^-10 +6 +0 ");
    }

    @Test
    void jsonHasTheSameCounts() throws IOException {
        CommandResult result = run("analyze", "--json", "--by", "queue", excerpt());
        assertThat(result.code).isEqualTo(ExitCode.OK);
        JsonNode rows = JsonCodec.json().mapper().readTree(result.output).at("/sections/0/rows");
        assertThat(rows.at("/0/key/0").asText()).isEqualTo("queue-1");
        assertThat(rows.at("/0/submitted").asInt()).isEqualTo(4);
        assertThat(rows.at("/0/cancelled").asInt()).isEqualTo(2);
        assertThat(rows.at("/1/done").asInt()).isEqualTo(6);
        assertThat(rows.at("/1/details/runStops/displaced").asInt()).isEqualTo(3);
        assertThat(rows.at("/2/details/rejections/the store does not answer").asInt())
                .isEqualTo(1);
    }

    @Test
    void standardInputIsReadWithoutArguments() throws IOException {
        InputStream original = System.in;
        try (InputStream excerpt = AnalyzeCommandTest.class.getResourceAsStream(EXCERPT)) {
            System.setIn(excerpt);
            assertThat(run("analyze").output).startsWith("222 lines ");
        } finally {
            System.setIn(original);
        }
    }

    @Test
    void patternNamesTheDataCentres() {
        String output = run("analyze", "--by", "data-centre", "--data-centre", "host-(.)-\\d+", excerpt()).output;
        assertThat(output).containsPattern("(?m)^b +0 +5 ").doesNotContainPattern("(?m)^host");
    }

    @Test
    void plotIsAnImage(@TempDir Path folder) throws IOException {
        Path image = folder.resolve("day.png");
        assertThat(run("analyze", "--plot", image.toString(), excerpt()).code).isEqualTo(ExitCode.OK);
        assertThat(ImageIO.read(image.toFile()).getWidth()).isGreaterThan(0);
    }

    @Test
    void unwritablePlotGivesFailureAfterTheTable(@TempDir Path folder) {
        CommandResult result =
                run("analyze", "--plot", folder.resolve("no/day.png").toString(), excerpt());
        assertThat(result.code).isEqualTo(ExitCode.FAILED);
        assertThat(result.errors).contains("day.png").contains("cannot be written");
        assertThat(result.output).startsWith("222 lines ");
    }

    @Test
    void missingOrUnreadableLogGivesInvalidDocument(@TempDir Path folder) throws IOException {
        CommandResult missing = run("analyze", "no-such.log");
        assertThat(missing.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(missing.errors).contains("no-such.log").contains("cannot be read: NoSuchFileException");
        Path text = Files.writeString(folder.resolve("text.log"), "no log line\n");
        assertThat(run("analyze", text.toString()).code).isEqualTo(ExitCode.INVALID_DOCUMENT);
    }

    @Test
    void invalidOptionsGiveUsageError() {
        assertThat(run("analyze", "--by", "day", excerpt()).code).isEqualTo(ExitCode.USAGE);
        assertThat(run("analyze", "--data-centre", "(", excerpt()).code).isEqualTo(ExitCode.USAGE);
        assertThat(run("analyze", "--data-centre", "host", excerpt()).code).isEqualTo(ExitCode.USAGE);
    }

    /** Hosts have little memory and start on a fraction of a processor: only --plot may load the plotting library. */
    @Test
    void plottingLibraryIsLoadedOnlyForAPlot(@TempDir Path folder) throws ReflectiveOperationException {
        ClassLoader loader = new LoaderWithoutCharts();
        Class<?> main = loader.loadClass(Main.class.getName());
        capture(() -> {
            String[] arguments = {"analyze", excerpt()};
            assertThat(main.getMethod("run", String[].class)
                            .invoke(null, (Object) arguments)
                            .toString())
                    .isEqualTo("OK");
            String[] plotArguments = {
                "analyze", "--plot", folder.resolve("day.png").toString(), excerpt()
            };
            assertThatThrownBy(() -> main.getMethod("run", String[].class).invoke(null, (Object) plotArguments))
                    .isInstanceOf(InvocationTargetException.class)
                    .hasCauseInstanceOf(NoClassDefFoundError.class);
            return ExitCode.OK;
        });
    }

    private static String excerpt() {
        try {
            return Path.of(AnalyzeCommandTest.class.getResource(EXCERPT).toURI())
                    .toString();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private static CommandResult run(String... args) {
        try {
            return capture(() -> Main.run(args));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static CommandResult capture(Invocation invocation) throws ReflectiveOperationException {
        PrintStream originalOutput = System.out;
        PrintStream originalErrors = System.err;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            ExitCode code = invocation.call();
            return new CommandResult(
                    code, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(originalOutput);
            System.setErr(originalErrors);
        }
    }

    private interface Invocation {
        ExitCode call() throws ReflectiveOperationException;
    }

    private record CommandResult(ExitCode code, String output, String errors) {}

    /** Defines this project's classes anew and cannot find the plotting library. */
    private static final class LoaderWithoutCharts extends ClassLoader {

        LoaderWithoutCharts() {
            super(AnalyzeCommandTest.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (name.startsWith("org.jfree.")) {
                throw new ClassNotFoundException(name);
            }
            if (!name.startsWith("org.flamingopitch.")) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                return loaded == null ? define(name) : loaded;
            }
        }

        private Class<?> define(String name) throws ClassNotFoundException {
            try (InputStream file = getResourceAsStream(name.replace('.', '/') + ".class")) {
                if (file == null) {
                    throw new ClassNotFoundException(name);
                }
                byte[] bytes = file.readAllBytes();
                return defineClass(name, bytes, 0, bytes.length);
            } catch (IOException e) {
                throw new ClassNotFoundException(name, e);
            }
        }
    }
}
