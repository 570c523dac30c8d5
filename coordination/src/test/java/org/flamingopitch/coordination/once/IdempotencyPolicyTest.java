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
            @ForAll OncePolicy policy,
            @ForAll boolean journalHealthy,
            @ForAll @IntRange(min = -5_000, max = 250) int issuedAfterMillis) {
        Optional<Instant> issuedAt = Optional.of(OWNED_SINCE.plusMillis(issuedAfterMillis));
        OnceSituation context = new OnceSituation(issuedAt, OWNED_SINCE, CLOCK_SKEW, false, journalHealthy);
        assertThat(policy.decide(context)).isNotEqualTo(OnceDecision.RUN_UNRECORDED);
    }

    @Property(seed = "20260105")
    void opaqueKeyNeverRunsUnrecorded(
            @ForAll OncePolicy policy, @ForAll boolean formerOwnerRecordedAll, @ForAll boolean journalHealthy) {
        OnceSituation context =
                new OnceSituation(Optional.empty(), OWNED_SINCE, CLOCK_SKEW, formerOwnerRecordedAll, journalHealthy);
        assertThat(policy.decide(context)).isNotEqualTo(OnceDecision.RUN_UNRECORDED);
    }

    @Example
    void keyIssuedInTheEpochRunsUnrecordedUnlessThePolicyIsRecorded() {
        Optional<Instant> issuedAt = Optional.of(OWNED_SINCE.plusSeconds(5));
        OnceSituation context = new OnceSituation(issuedAt, OWNED_SINCE, CLOCK_SKEW, false, false);
        assertThat(OncePolicy.ADAPTIVE.decide(context)).isEqualTo(OnceDecision.RUN_UNRECORDED);
        assertThat(OncePolicy.RECORDED.decide(context)).isEqualTo(OnceDecision.ANSWER_NOT_RUN);
        assertThat(OncePolicy.MINTED.decide(context)).isEqualTo(OnceDecision.RUN_UNRECORDED);
    }
}
