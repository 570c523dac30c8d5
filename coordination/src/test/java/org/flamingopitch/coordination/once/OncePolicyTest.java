package org.flamingopitch.coordination.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A key that a former owner may have run unrecorded is never run again, under any policy. */
final class OncePolicyTest {

    private static final Instant OWNED_SINCE = Instant.parse("2026-01-05T06:00:00Z");

    private static final Duration SKEW = Duration.ofMillis(250);

    @Property(seed = "20260105")
    void neverRunsAnOldMintedKeyUnrecorded(
            @ForAll OncePolicy policy,
            @ForAll boolean journalHealthy,
            @ForAll @IntRange(min = -5_000, max = 250) int ageMillis) {
        Optional<Instant> minted = Optional.of(OWNED_SINCE.plusMillis(ageMillis));
        OnceSituation situation = new OnceSituation(minted, OWNED_SINCE, SKEW, false, journalHealthy);
        assertThat(policy.decide(situation)).isNotEqualTo(OnceDecision.RUN_UNRECORDED);
    }

    @Property(seed = "20260105")
    void runsOpaqueKeysOnlyRecorded(@ForAll OncePolicy policy, @ForAll boolean clean, @ForAll boolean healthy) {
        OnceSituation situation = new OnceSituation(Optional.empty(), OWNED_SINCE, SKEW, clean, healthy);
        assertThat(policy.decide(situation)).isNotEqualTo(OnceDecision.RUN_UNRECORDED);
    }

    @Example
    void runsYoungMintedKeysWhileTheStoreIsAway() {
        Optional<Instant> minted = Optional.of(OWNED_SINCE.plusSeconds(5));
        OnceSituation situation = new OnceSituation(minted, OWNED_SINCE, SKEW, false, false);
        assertThat(OncePolicy.ADAPTIVE.decide(situation)).isEqualTo(OnceDecision.RUN_UNRECORDED);
        assertThat(OncePolicy.RECORDED.decide(situation)).isEqualTo(OnceDecision.ANSWER_NOT_RUN);
        assertThat(OncePolicy.MINTED.decide(situation)).isEqualTo(OnceDecision.RUN_UNRECORDED);
    }
}
