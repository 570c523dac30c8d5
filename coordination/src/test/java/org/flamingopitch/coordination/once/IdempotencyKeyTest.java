package org.flamingopitch.coordination.once;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.StringLength;

/** Issued keys carry their time of creation; any other text is an opaque key or is rejected. */
final class IdempotencyKeyTest {

    @Property(seed = "20260105")
    void issuedKeyCarriesItsTimeOfCreation(
            @ForAll @LongRange(max = 4_000_000_000_000L) long millis, @ForAll long random) {
        IdempotencyKey key = IdempotencyKey.issue(Instant.ofEpochMilli(millis), random);
        assertThat(key.issuedAt()).contains(Instant.ofEpochMilli(millis));
    }

    @Property(seed = "20260105")
    void anyTextUpToTheMaximumLengthIsAccepted(@ForAll @StringLength(min = 1, max = 128) String text) {
        if (!text.isBlank()) {
            assertThat(new IdempotencyKey(text).issuedAt()).isNotNull();
        }
    }

    @Example
    void blankAndLongKeysAreRejected() {
        assertThatThrownBy(() -> new IdempotencyKey(" ")).hasMessage("idempotency key must not be blank");
        assertThatThrownBy(() -> new IdempotencyKey("x".repeat(129)))
                .hasMessage("idempotency key must have at most 128 characters");
    }
}
