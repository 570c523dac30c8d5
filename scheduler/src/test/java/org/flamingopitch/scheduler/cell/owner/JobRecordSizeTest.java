package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A job must be rejected at once if its record is larger than what a transaction may carry. */
final class JobRecordSizeTest {

    private static StepSpec step(int nameLength, int predecessors) {
        String name = nameLength == 0 ? null : "n".repeat(nameLength);
        return new StepSpecBuilder()
                .count(1)
                .demand(new Resources(2_000_000_000, 2_000_000_000, 2_000_000_000))
                .estimateMillis(2_000_000_000)
                .after(IntStream.range(0, predecessors).boxed().toList())
                .checkpointing(true)
                .gang(true)
                .sameRack(true)
                .requiredLabel(name)
                .preferredRack(name)
                .maxPerWorker(2_000_000_000)
                .speculative(true)
                .lasting(true)
                .image(name)
                .targetMillis(1.2345678901234567)
                .fills(true)
                .maxUnavailable(2_000_000_000)
                .build();
    }

    private static JobSpec spec(String payload, int steps, int nameLength, int predecessors) {
        List<StepSpec> all = new ArrayList<>(Collections.nCopies(predecessors, step(nameLength, 0)));
        all.addAll(Collections.nCopies(steps - predecessors, step(nameLength, predecessors)));
        return new JobSpec(payload, all, 0, 0, 0);
    }

    private static int recordBytes(JobSpec spec) {
        JobRecord record = new JobRecord(OwnerFixtures.queue(), Long.MAX_VALUE, spec);
        return JsonCodec.compact().encode(record).getBytes(StandardCharsets.UTF_8).length;
    }

    @ParameterizedTest
    @CsvSource({"0,0", "0,100", "10,1", "200,0", "200,50"})
    void recordOfTheLargestJobFitsIntoATransaction(int nameLength, int predecessors) {
        int steps = predecessors + 1;
        while (spec("w", steps + 1, nameLength, predecessors).validationError() == null && steps < 5_000) {
            steps++;
        }
        assertThat(recordBytes(spec("w", steps, nameLength, predecessors)))
                .isLessThanOrEqualTo(TransactionBuilder.MAX_BYTES);
    }

    @Test
    void usualJobIsAccepted() {
        assertThat(spec("x".repeat(4_000), 40, 16, 5).validationError()).isNull();
    }

    @Test
    void longTextsAreRejectedWithTheirSize() {
        assertThat(spec("x".repeat(300_000), 1, 0, 0).validationError()).contains("at most 250000");
        assertThat(spec("w", 1, 201, 0).validationError()).contains("steps[0] has a name of 201 bytes");
    }
}
