package org.flamingopitch.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Bad input gets one clear error that names the place, and the documented exit code. */
final class MainTest {

    private static final String VALID = """
            {"name":"entry-1","dataCentre":"a","region":"r","callerAddress":"127.0.0.1:0",
             "operatorAddress":"127.0.0.1:0","peerAddress":"127.0.0.1:0","keyValueAddress":"127.0.0.1:1",
             "hostListAddress":"127.0.0.1:2"}""";

    @Test
    void refusesAnUnknownSettingAndNamesTheNearest(@TempDir Path folder) throws IOException {
        Path file = write(folder, VALID.replace("\"region\"", "\"regoin\""));
        Run run = run("check", "--settings", file.toString());
        assertThat(run.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(run.errors).contains("regoin").contains("region").contains(file.toString());
        assertThat(run.errors.lines()).hasSize(1);
    }

    @Test
    void refusesAWrongTypeWithItsPointer(@TempDir Path folder) throws IOException {
        Path file = write(folder, VALID.replace("\"entry-1\"", "7"));
        Run run = run("check", "--settings", file.toString());
        assertThat(run.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(run.errors).contains("/name").contains("string");
    }

    @Test
    void namesTheLineOfASyntaxError(@TempDir Path folder) throws IOException {
        Path file = write(folder, "{\n\"name\": }");
        Run run = run("check", "--settings", file.toString());
        assertThat(run.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(run.errors).contains("line 2");
    }

    @Test
    void namesAMissingFile() {
        Run run = run("check", "--settings", "no-such-file.json");
        assertThat(run.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(run.errors).contains("no-such-file.json").contains("cannot be read");
    }

    @Test
    void refusesAConfigurationWithAllItsProblems(@TempDir Path folder) throws IOException {
        Path file = write(folder, """
                {"homeRegion":"nowhere","shards":4,"dataCentres":[{"name":"a","region":"r","racks":[]}],
                 "rules":{"urgentReserveSlots":1,"urgentQueuePerRack":8,"kinds":[{"name":"k","urgency":"URGENT",
                 "repeatability":"REPEATABLE","deadline":"PT2S",
                 "size":{"milliCores":1,"memoryMegabytes":1,"accelerators":0}}]}}""");
        Run run = run("check", "--configuration", file.toString());
        assertThat(run.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(run.errors).contains("/homeRegion").contains("/rules/kinds/0/size");
    }

    @Test
    void namesAPortInUse(@TempDir Path folder) throws IOException {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            Path file = write(
                    folder,
                    VALID.replace("\"callerAddress\":\"127.0.0.1:0\"", "\"callerAddress\":\"" + address + "\""));
            Run run = run("serve", "--settings", file.toString());
            assertThat(run.code).isEqualTo(ExitCode.CANNOT_START);
            assertThat(run.errors).contains("caller-api").contains(address);
        }
    }

    @Test
    void refusesUnknownCommandsAndOptions() {
        assertThat(run("srve").code).isEqualTo(ExitCode.USAGE);
        assertThat(run("check", "--nonsense").code).isEqualTo(ExitCode.USAGE);
        assertThat(run("status", "--host", "nonsense").code).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void reportsAnEntryHostThatDoesNotAnswer() {
        Run run = run("status", "--host", "127.0.0.1:1");
        assertThat(run.code).isEqualTo(ExitCode.NO_ANSWER);
    }

    @ParameterizedTest
    @EnumSource(CommandName.class)
    void everyCommandHasHelp(CommandName name) {
        if (name.create().options().getRequiredOptions().isEmpty()) {
            assertThat(run(name.word(), "--help").code).isEqualTo(ExitCode.OK);
        }
        assertThat(name.create().summary()).endsWith(".");
    }

    private static Path write(Path folder, String text) throws IOException {
        return Files.writeString(folder.resolve("document.json"), text);
    }

    private static Run run(String... words) {
        PrintStream before = System.err;
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            ExitCode code = Main.run(words);
            return new Run(code, errors.toString(StandardCharsets.UTF_8));
        } finally {
            System.setErr(before);
        }
    }

    private record Run(ExitCode code, String errors) {}
}
