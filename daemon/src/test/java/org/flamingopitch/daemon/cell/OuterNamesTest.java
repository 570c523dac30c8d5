package org.flamingopitch.daemon.cell;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.Option;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.config.ConfigEnvelope;
import org.flamingopitch.coordination.journal.Journal;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.ownership.OwnershipMap;
import org.flamingopitch.daemon.cli.CommandName;
import org.flamingopitch.daemon.cli.ExitCode;
import org.flamingopitch.daemon.cli.Main;
import org.flamingopitch.daemon.entry.AuditLog;
import org.flamingopitch.daemon.entry.CallerApi;
import org.flamingopitch.daemon.entry.EntryMetrics;
import org.flamingopitch.daemon.entry.MessagePackPeerCodec;
import org.flamingopitch.daemon.entry.OperatorApi;
import org.flamingopitch.daemon.platform.HostListPoller;
import org.flamingopitch.daemon.platform.HttpKeyValueClient;
import org.flamingopitch.daemon.platform.HttpWorkerClient;
import org.flamingopitch.daemon.settings.EntryHostSettings;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;
import org.flamingopitch.scheduler.cell.port.OrderRejection;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.speculation.CopyOutcome;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.message.JobView;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.node.AuditType;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.scheduler.shard.ShardRecord;
import org.flamingopitch.scheduler.worker.TaskReport;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;
import org.flamingopitch.standins.host.HostListServer;
import org.flamingopitch.standins.kv.CallCounts;
import org.flamingopitch.standins.kv.KeyValueServer;
import org.flamingopitch.standins.kv.StoredKey;
import org.flamingopitch.standins.kv.StoredKeys;
import org.flamingopitch.standins.worker.LogEntry;
import org.flamingopitch.standins.worker.TaskOrder;
import org.flamingopitch.standins.worker.TaskView;
import org.flamingopitch.standins.worker.WorkerServer;
import org.flamingopitch.standins.worker.WorkerView;
import org.flamingopitch.transport.http.HttpOutcome;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.peer.RequestOutcome;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Guards the names that leave the process. Messages, stored records, labels and log values are written under the names
 * of Java classes, components and constants, so that renaming one of these would make processes of two versions
 * misread each other and their data.
 */
final class OuterNamesTest {

    private static final String RECORDED = "outer-names.txt";

    private static final JsonCodec NESTED = new JsonCodec(
            new JsonFactory(),
            Outcome.class,
            org.flamingopitch.scheduler.message.JobAnswer.class,
            JobCommand.class,
            KeyValueRequest.class,
            KeyValueResult.class);

    private final List<String> lines = new ArrayList<>();

    @Test
    void namesThatLeaveTheProcessStay() throws IOException, ReflectiveOperationException {
        recordHostMessages();
        recordPeerMessages();
        recordJournal();
        recordStoredRecords();
        recordBodies();
        recordNamesInLabelsAndLogs();
        recordMetrics();
        recordCommands();
        String actual = String.join("\n", lines) + "\n";
        try (InputStream recorded = OuterNamesTest.class.getResourceAsStream(RECORDED)) {
            String expected = recorded == null ? "" : new String(recorded.readAllBytes(), StandardCharsets.UTF_8);
            assertThat(actual).isEqualTo(expected);
        }
    }

    private void recordHostMessages() throws IOException {
        JobCodec codec = new JobCodec();
        for (Class<?> type : SampleValues.subtypes(JobRequest.class)) {
            JobRequest request = (JobRequest) SampleValues.of(type);
            byte[] bytes = codec.encode(request);
            assertThat(codec.decodeRequest(bytes)).isEqualTo(request);
            addMessagePack("host request", bytes);
        }
        for (Class<?> type : SampleValues.subtypes(JobAnswer.class)) {
            JobAnswer answer = (JobAnswer) SampleValues.of(type);
            byte[] bytes = codec.encode(answer);
            assertThat(codec.decodeAnswer(bytes)).isEqualTo(answer);
            addMessagePack("host answer", bytes);
        }
    }

    private void recordPeerMessages() throws IOException {
        MessagePackPeerCodec codec = new MessagePackPeerCodec();
        for (Class<?> type : SampleValues.subtypes(PeerMessage.class)) {
            PeerMessage message = (PeerMessage) SampleValues.of(type);
            byte[] bytes = codec.encode(message);
            assertThat(codec.decode(bytes)).isEqualTo(message);
            addMessagePack("peer message", bytes);
            addConstants("peer message " + type.getSimpleName(), type, lines);
        }
        for (Class<?> sealedType :
                List.of(Outcome.class, org.flamingopitch.scheduler.message.JobAnswer.class, JobCommand.class)) {
            for (Class<?> type : SampleValues.subtypes(sealedType)) {
                add("part of a peer message", sealedType, SampleValues.of(type));
            }
        }
    }

    private void recordJournal() throws IOException, ReflectiveOperationException {
        JsonCodec codec = new JsonCodec(new JsonFactory(), ShardRecord.class, Outcome.class);
        for (Class<?> type : SampleValues.subtypes(ShardRecord.class)) {
            ShardRecord record = (ShardRecord) SampleValues.of(type);
            String text = codec.mapper().writerFor(ShardRecord.class).writeValueAsString(record);
            assertThat(codec.decode(text, ShardRecord.class)).isEqualTo(record);
            lines.add("journal record: " + text);
            addConstants("journal record " + type.getSimpleName(), type, lines);
        }
        addStored("journal head", Class.forName(Journal.class.getPackageName() + ".JournalHead"), JsonCodec.json());
    }

    private void recordStoredRecords() throws ReflectiveOperationException {
        String ownerPackage = OwnerRecord.class.getPackageName();
        for (String name : List.of("JobRecord", "ProgressRecord", "LearnedRecord", "OwnerRecord")) {
            addStored("record of the cell", Class.forName(ownerPackage + "." + name), JsonCodec.compact());
        }
        addStored("record of the cell", Class.forName(ownerPackage + ".FormerOwnersRecord"), JsonCodec.json());
        for (Class<?> type : List.of(ConfigEnvelope.class, Member.class, OwnershipMap.class, Configuration.class)) {
            addStored("record of the store", type, JsonCodec.json());
        }
        addStored("settings", EntryHostSettings.class, JsonCodec.json());
    }

    private void recordBodies() {
        List<Class<?>> types = new ArrayList<>(List.of(
                NodeStatus.class,
                JobView.class,
                KeyValueEntry.class,
                TaskReport.class,
                CallCounts.class,
                StoredKey.class,
                StoredKeys.class,
                LogEntry.class,
                TaskOrder.class,
                TaskView.class,
                WorkerView.class));
        types.addAll(SampleValues.subtypes(WorkerRequest.class));
        Stream.of(
                        AuditLog.class,
                        CallerApi.class,
                        OperatorApi.class,
                        HostListPoller.class,
                        HttpKeyValueClient.class,
                        HttpWorkerClient.class,
                        HostListServer.class,
                        KeyValueServer.class,
                        WorkerServer.class,
                        HttpReply.class)
                .flatMap(holder -> Arrays.stream(holder.getDeclaredClasses()))
                .filter(Class::isRecord)
                .forEach(types::add);
        TreeSet<String> bodies = new TreeSet<>();
        for (Class<?> type : types) {
            try {
                bodies.add("body: " + JsonCodec.json().encode(SampleValues.of(type)));
                addConstants("body", type, bodies);
            } catch (SampleValues.UnsupportedTypeException e) {
                assertThat(type.getDeclaringClass())
                        .as("records without a sample are parts of servers")
                        .isNotNull();
            }
        }
        lines.addAll(bodies);
    }

    private void recordNamesInLabelsAndLogs() {
        addNames("store requests", KeyValueRequest.class);
        addNames("store results", KeyValueResult.class);
        addNames("worker orders", WorkerOrder.class);
        addNames("worker answers", WorkerAnswer.class);
        addNames("worker listings", WorkerListing.class);
        addNames("host requests", JobRequest.class);
        addNames("host answers", JobAnswer.class);
        addNames("caller requests", CallerOperation.class);
        addNames("caller replies", CallerReply.class);
        addNames("forward outcomes", ForwardOutcome.class);
        addNames("peer messages", PeerMessage.class);
        addNames("worker requests", WorkerRequest.class);
        addNames("worker results", WorkerResult.class);
        addNames("outcomes", Outcome.class);
        addNames("transport outcomes", RequestOutcome.class);
        addNames("HTTP outcomes", HttpOutcome.class);
        for (Class<?> type : List.of(
                Reason.class,
                AuditType.class,
                JobState.class,
                EndKind.class,
                OrderRejection.class,
                CopyOutcome.class,
                ExitCode.class)) {
            lines.add("constants: " + Arrays.toString(type.getEnumConstants()));
        }
    }

    private void recordMetrics() throws ReflectiveOperationException {
        CellMetrics cellMetrics = new CellMetrics(() -> 4);
        SampleValues.callAll(cellMetrics);
        lines.add("metrics of the platform's host:");
        addSamples(cellMetrics.text());
        EntryMetrics entryMetrics = new EntryMetrics();
        SampleValues.callAll(entryMetrics);
        lines.add("metrics of the entry host:");
        addSamples(entryMetrics.text());
    }

    private void recordCommands() {
        for (CommandName name : CommandName.values()) {
            String options = name.create().options().getOptions().stream()
                    .map(OuterNamesTest::option)
                    .sorted()
                    .collect(Collectors.joining(" "));
            lines.add(("command: " + name.commandLineName() + " " + options).strip());
        }
        lines.add(printed("--help"));
    }

    private static String option(Option option) {
        return "--" + option.getLongOpt() + (option.isRequired() ? "!" : "")
                + (option.hasArg() ? "=" + option.getArgName() : "");
    }

    private static String printed(String word) {
        PrintStream before = System.out;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            Main.run(new String[] {word});
        } finally {
            System.setOut(before);
        }
        String text = output.toString(StandardCharsets.UTF_8);
        return text.lines().map(line -> line.strip().split(" ")[0]).collect(Collectors.joining(" "));
    }

    private void addSamples(String page) {
        page.lines().filter(line -> !line.startsWith("# HELP")).forEach(lines::add);
    }

    private void addMessagePack(String title, byte[] bytes) throws IOException {
        String tree = new ObjectMapper(new MessagePackFactory()).readTree(bytes).toString();
        lines.add(title + ": " + tree + " " + HexFormat.of().formatHex(bytes));
    }

    private void addStored(String title, Class<?> type, JsonCodec codec) {
        Object value = SampleValues.of(type);
        String text = codec.encode(value);
        assertThat(codec.<Object>decode(text, (Class<Object>) type)).isEqualTo(value);
        lines.add(title + ": " + text);
        addConstants(title, type, lines);
    }

    private void add(String title, Class<?> sealedType, Object value) throws IOException {
        lines.add(title + ": " + NESTED.mapper().writerFor(sealedType).writeValueAsString(value));
    }

    private void addNames(String title, Class<?> sealedType) {
        lines.add(title + ": "
                + SampleValues.subtypes(sealedType).stream()
                        .map(type -> type.getSimpleName() + components(type))
                        .collect(Collectors.joining(" ")));
    }

    private static void addConstants(String title, Type type, Collection<String> found) {
        if (type instanceof ParameterizedType parameterized) {
            for (Type argument : parameterized.getActualTypeArguments()) {
                addConstants(title, argument, found);
            }
        }
        if (!(type instanceof Class<?> raw)) {
            return;
        }
        if (raw.isEnum()) {
            found.add(title + ": " + Arrays.toString(raw.getEnumConstants()));
        }
        if (raw.isRecord()) {
            for (RecordComponent component : raw.getRecordComponents()) {
                addConstants(title + "." + component.getName(), component.getGenericType(), found);
            }
        }
    }

    private static String components(Class<?> type) {
        return Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getName)
                .collect(Collectors.joining(",", "(", ")"));
    }
}
