package org.flamingopitch.coordination.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Waiters receive only the first outcome of their key, each at most once; a key is kept for the retention period. */
final class IdempotencyTableTest {

    private static final Instant START = Instant.parse("2026-01-05T06:00:00Z");

    @Property(seed = "20260105")
    void waitersReceiveOnlyTheFirstOutcomeAndAtMostOnce(
            @ForAll @Size(max = 60) List<@IntRange(max = 11) Integer> actions) {
        IdempotencyTable<String> table = new IdempotencyTable<>(Duration.ofHours(1));
        Map<String, List<String>> received = new HashMap<>();
        Map<String, String> firstOutcomes = new HashMap<>();
        int waiters = 0;
        for (int i = 0; i < actions.size(); i++) {
            IdempotencyKey key = new IdempotencyKey("key-" + actions.get(i) % 4);
            IdempotencyTable.IdempotencyEntry<String> entry = table.find(key).orElseGet(() -> table.add(key, START));
            if (actions.get(i) < 8) {
                waiters++;
                entry.whenFinished(outcome -> received.computeIfAbsent(key.value(), each -> new ArrayList<>())
                        .add(outcome));
            } else {
                String outcome = "outcome-" + i;
                firstOutcomes.putIfAbsent(key.value(), outcome);
                entry.finish(outcome);
            }
        }
        received.forEach((key, outcomes) -> assertThat(outcomes).containsOnly(firstOutcomes.get(key)));
        int receivedCount = received.values().stream().mapToInt(List::size).sum();
        assertThat(receivedCount).isLessThanOrEqualTo(waiters);
    }

    @Property(seed = "20260105")
    void keyIsKeptForTheRetentionPeriod(@ForAll @IntRange(max = 7_200) int seconds) {
        IdempotencyTable<String> table = new IdempotencyTable<>(Duration.ofHours(1));
        IdempotencyKey key = new IdempotencyKey("key");
        table.add(key, START);
        table.expire(START.plusSeconds(seconds));
        assertThat(table.find(key).isPresent()).isEqualTo(seconds < 3_600);
    }
}
