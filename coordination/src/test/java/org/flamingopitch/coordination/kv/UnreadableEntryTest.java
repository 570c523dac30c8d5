package org.flamingopitch.coordination.kv;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.config.ConfigEnvelope;
import org.flamingopitch.coordination.config.ConfigService;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.membership.MembershipService;
import org.flamingopitch.coordination.ownership.OwnershipDirectory;
import org.flamingopitch.coordination.ownership.OwnershipEntry;
import org.flamingopitch.coordination.ownership.OwnershipMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * An entry that cannot be read must neither end the process, which would read it again after each start, nor change what
 * the process knows.
 */
final class UnreadableEntryTest {

    private static final int NESTING = 100_000;

    private static final ProcessId SELF = new ProcessId("self");

    private static final ProcessId OTHER = new ProcessId("other");

    private static final PartitionId PARTITION = new PartitionId("p");

    private static final LoopContext CONTEXT = new LoopContext() {
        @Override
        public Instant now() {
            return Instant.EPOCH;
        }

        @Override
        public void schedule(Duration delay, Runnable action) {}

        @Override
        public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {}
    };

    private final StoreWatcher watcher = new StoreWatcher(CONTEXT, "");

    static Stream<String> unreadableValues() {
        return Stream.of(
                "",
                "null",
                "7",
                "[]",
                "{}",
                "{",
                "\u0000",
                "{\"version\":92233720368547758070,\"document\":\"d\"}",
                "{\"version\":1e999,\"document\":\"d\"}",
                "{\"version\":9}",
                "{\"version\":9,\"document\":null}",
                "{\"id\":\"\",\"dataCentre\":\"c\",\"region\":\"r\",\"peerAddress\":\"10.0.0.1:1\",\"draining\":false}",
                "{\"id\":\"other\",\"dataCentre\":\"c\",\"region\":\"r\",\"draining\":false}",
                "{\"writeId\":\"w\",\"entries\":[null]}",
                "{\"writeId\":\"w\",\"entries\":[{}]}",
                "{\"writeId\":\"w\"}",
                "[".repeat(NESTING),
                "{\"a\":".repeat(NESTING));
    }

    private void show(String key, Object value, long version) {
        watcher.observe(new KeyValueEntry(key, JsonCodec.json().encode(value), version));
    }

    private void expectUnharmedBy(String key, String value) {
        assertThatCode(() -> watcher.observe(new KeyValueEntry(key, value, 5))).doesNotThrowAnyException();
    }

    @ParameterizedTest
    @MethodSource("unreadableValues")
    void unreadableConfigurationKeepsTheFormerOneInForce(String value) {
        List<String> inForce = new ArrayList<>();
        ConfigService<String> service = new ConfigService<>(CONTEXT, watcher, "config", "w", document -> document);
        service.addListener(inForce::add);
        show("config", new ConfigEnvelope(1, "first", List.of()), 4);
        expectUnharmedBy("config", value);
        assertThat(inForce).containsExactly("first");
        show("config", new ConfigEnvelope(2, "second", List.of()), 6);
        assertThat(inForce).containsExactly("first", "second");
    }

    @ParameterizedTest
    @MethodSource("unreadableValues")
    void unreadableMemberIsNoMember(String value) {
        Member self = new Member(SELF, "centre", "region", "10.0.0.1:1", false);
        LeaseTimings timings = LeaseTimings.defaults();
        MembershipService membership = new MembershipService(CONTEXT, watcher, timings, "members/", self);
        expectUnharmedBy("members/odd", value);
        expectUnharmedBy("members/", value);
        show("members/other", new Member(OTHER, "centre", "region", "10.0.0.2:1", false), 6);
        assertThat(membership.members()).extracting(Member::id).contains(OTHER).doesNotContain(new ProcessId("odd"));
    }

    @ParameterizedTest
    @MethodSource("unreadableValues")
    void unreadableOwnershipMapLeavesTheOwnersAsTheyAre(String value) {
        OwnershipDirectory directory = new OwnershipDirectory(watcher, "owners/");
        OwnershipEntry entry = new OwnershipEntry(PARTITION, OTHER, "10.0.0.2:1", 1);
        show("owners/group", new OwnershipMap("w", List.of(entry)), 4);
        expectUnharmedBy("owners/group", value);
        assertThat(directory.owner(PARTITION)).isEqualTo(Optional.of(OTHER));
    }
}
