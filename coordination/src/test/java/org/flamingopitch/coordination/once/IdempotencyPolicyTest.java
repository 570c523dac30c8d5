package org.flamingopitch.coordination.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A key that a former owner may have run without a record is not run again under any policy. */
final class IdempotencyPolicyTest {

    private static final Instant OWNED_SINCE = Instant.parse("2026-01-05T06:00:00Z");

    private static final Duration CLOCK_SKEW = Duration.ofMillis(250);

    @Property(seed = "20260105")
    void keyThatMayPrecedeTheEpochNeverRunsUnrecorded(
            @ForAll IdempotencyPolicy policy,
            @ForAll boolean journalHealthy,
            @ForAll @IntRange(min = -5_000, max = 250) int issuedAfterMillis) {
        Optional<Instant> issuedAt = Optional.of(OWNED_SINCE.plusMillis(issuedAfterMillis));
        IdempotencyContext context = new IdempotencyContext(issuedAt, OWNED_SINCE, CLOCK_SKEW, false, journalHealthy);
        assertThat(policy.decide(context)).isNotEqualTo(IdempotencyDecision.RUN_UNRECORDED);
    }

    @Property(seed = "20260105")
    void opaqueKeyNeverRunsUnrecorded(
            @ForAll IdempotencyPolicy policy, @ForAll boolean formerOwnerRecordedAll, @ForAll boolean journalHealthy) {
        IdempotencyContext context = new IdempotencyContext(
                Optional.empty(), OWNED_SINCE, CLOCK_SKEW, formerOwnerRecordedAll, journalHealthy);
        assertThat(policy.decide(context)).isNotEqualTo(IdempotencyDecision.RUN_UNRECORDED);
    }

    @Example
    void keyIssuedInTheEpochRunsUnrecordedUnlessThePolicyIsRecorded() {
        Optional<Instant> issuedAt = Optional.of(OWNED_SINCE.plusSeconds(5));
        IdempotencyContext context = new IdempotencyContext(issuedAt, OWNED_SINCE, CLOCK_SKEW, false, false);
        assertThat(IdempotencyPolicy.ADAPTIVE.decide(context)).isEqualTo(IdempotencyDecision.RUN_UNRECORDED);
        assertThat(IdempotencyPolicy.RECORDED.decide(context)).isEqualTo(IdempotencyDecision.ANSWER_NOT_RUN);
        assertThat(IdempotencyPolicy.MINTED.decide(context)).isEqualTo(IdempotencyDecision.RUN_UNRECORDED);
    }
}
