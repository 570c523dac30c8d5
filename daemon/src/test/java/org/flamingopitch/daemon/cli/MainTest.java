package org.flamingopitch.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.flamingopitch.coordination.api.JsonCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Invalid input gives one error that names its position, and the documented exit code. */
final class MainTest {

    private static final String VALID_SETTINGS = """
            {"name":"entry-1","dataCentre":"a","region":"r","callerAddress":"127.0.0.1:0",
             "operatorAddress":"127.0.0.1:0","peerAddress":"127.0.0.1:0","keyValueAddress":"127.0.0.1:1",
             "hostListAddress":"127.0.0.1:2"}""";

    @Test
    void unknownSettingIsRejectedWithNearestKnownName(@TempDir Path folder) throws IOException {
        Path file = writeDocument(folder, VALID_SETTINGS.replace("\"region\"", "\"regoin\""));
        CommandResult result = run("check", "--settings", file.toString());
        assertThat(result.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(result.errors).contains("regoin").contains("region").contains(file.toString());
        assertThat(result.errors.lines()).hasSize(1);
    }

    @Test
    void wrongTypeIsRejectedWithJsonPointer(@TempDir Path folder) throws IOException {
        Path file = writeDocument(folder, VALID_SETTINGS.replace("\"entry-1\"", "7"));
        CommandResult result = run("check", "--settings", file.toString());
        assertThat(result.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(result.errors).contains("/name").contains("string");
    }

    @Test
    void syntaxErrorIsReportedWithLineNumber(@TempDir Path folder) throws IOException {
        Path file = writeDocument(folder, "{\n\"name\": }");
        CommandResult result = run("check", "--settings", file.toString());
        assertThat(result.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(result.errors).contains("line 2");
    }

    @Test
    void unknownFeatureGateIsAUsageErrorThatListsTheKnownOnes() {
        CommandResult result =
                run("front", "--settings", "no-such-file.json", "--feature-gates", "copies=false,copy=false");
        assertThat(result.code).isEqualTo(ExitCode.USAGE);
        assertThat(result.errors)
                .contains("unknown feature gate \"copy\"")
                .contains("copies")
                .contains("admission");
    }

    @Test
    void missingFileIsReportedByName() {
        CommandResult result = run("check", "--settings", "no-such-file.json");
        assertThat(result.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(result.errors).contains("no-such-file.json").contains("cannot be read");
    }

    @Test
    void invalidConfigurationIsRejectedWithAllProblems(@TempDir Path folder) throws IOException {
        Path file = writeDocument(folder, """
                {"homeRegion":"nowhere","shards":4,"dataCentres":[{"name":"a","region":"r","racks":[]}],
                 "rules":{"urgentReserveSlots":1,"urgentQueuePerRack":8,"kinds":[{"name":"k","urgency":"URGENT",
                 "repeatability":"REPEATABLE","deadline":"PT2S",
                 "size":{"milliCores":1,"memoryMegabytes":1,"accelerators":0}}]}}""");
        CommandResult result = run("check", "--configuration", file.toString());
        assertThat(result.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(result.errors).contains("/homeRegion").contains("/rules/kinds/0/size");
    }

    @Test
    void portInUseIsReportedWithServerAndAddress(@TempDir Path folder) throws IOException {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + occupied.getLocalPort();
            Path file = writeDocument(
                    folder,
                    VALID_SETTINGS.replace(
                            "\"callerAddress\":\"127.0.0.1:0\"", "\"callerAddress\":\"" + address + "\""));
            CommandResult result = run("serve", "--settings", file.toString());
            assertThat(result.code).isEqualTo(ExitCode.CANNOT_START);
            assertThat(result.errors).contains("caller-api").contains(address);
        }
    }

    @Test
    void unknownCommandsAndInvalidOptionsGiveUsageError() {
        assertThat(run("srve").code).isEqualTo(ExitCode.USAGE);
        assertThat(run("check", "--nonsense").code).isEqualTo(ExitCode.USAGE);
        assertThat(run("status", "--host", "nonsense").code).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void unreachableEntryHostGivesNoAnswer() {
        CommandResult result = run("status", "--host", "127.0.0.1:1");
        assertThat(result.code).isEqualTo(ExitCode.NO_ANSWER);
    }

    @ParameterizedTest
    @EnumSource(CommandName.class)
    void commandHasHelpAndSummaryWithFullStop(CommandName name) {
        if (name.create().options().getRequiredOptions().isEmpty()) {
            assertThat(run(name.commandLineName(), "--help").code).isEqualTo(ExitCode.OK);
        }
        assertThat(name.create().summary()).endsWith(".");
    }

    @Test
    void operatorConfigurationIsRejectedWithAllErrorsAndDifferencesArePrinted(@TempDir Path folder) throws IOException {
        String valid = """
                {"version":7,"services":["s"],"routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"s",
                 "targetLatencyMs":3000}]}""";
        Path former = writeDocument(folder, valid);
        CommandResult accepted = run("check", "--operator-configuration", former.toString());
        assertThat(accepted.code).isEqualTo(ExitCode.OK);
        Path next = Files.writeString(
                folder.resolve("next.json"), valid.replace("\"service\":\"s\"", "\"service\":\"t\",\"timeoutMs\":0"));
        CommandResult rejected =
                run("check", "--operator-configuration", next.toString(), "--against", former.toString());
        assertThat(rejected.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(rejected.errors)
                .contains("/version")
                .contains("/routes/0/service")
                .contains("/routes/0/timeoutMs: found 0; allowed: an integer from 1");
        assertThat(rejected.errors.lines()).hasSize(1);
        assertThat(rejected.output)
                .contains("route q: service changed from \"s\" to \"t\"")
                .contains("warning: /services/0");
        CommandResult json =
                run("check", "--json", "--operator-configuration", next.toString(), "--against", former.toString());
        assertThat(json.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        JsonNode report = JsonCodec.json().mapper().readTree(json.output);
        assertThat(report.path("findings")).hasSize(4);
        assertThat(report.at("/differences/0/field").asText()).isEqualTo("service");
    }

    @Test
    void operatorConfigurationThatIsNoJsonIsReportedWithItsPosition(@TempDir Path folder) throws IOException {
        Path file = writeDocument(folder, "{\n\"version\": }");
        CommandResult result = run("check", "--operator-configuration", file.toString());
        assertThat(result.code).isEqualTo(ExitCode.INVALID_DOCUMENT);
        assertThat(result.errors).contains("line 2");
        assertThat(run("check", "--settings", file.toString(), "--against", file.toString()).code)
                .isEqualTo(ExitCode.USAGE);
    }

    private static Path writeDocument(Path folder, String text) throws IOException {
        return Files.writeString(folder.resolve("document.json"), text);
    }

    private static CommandResult run(String... args) {
        PrintStream originalErrors = System.err;
        PrintStream originalOutput = System.out;
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            ExitCode code = Main.run(args);
            return new CommandResult(
                    code, errors.toString(StandardCharsets.UTF_8), output.toString(StandardCharsets.UTF_8));
        } finally {
            System.setErr(originalErrors);
            System.setOut(originalOutput);
        }
    }

    private record CommandResult(ExitCode code, String errors, String output) {}
}
