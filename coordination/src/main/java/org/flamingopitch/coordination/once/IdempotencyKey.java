package org.flamingopitch.coordination.once;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.time.Instant;
import java.util.Optional;
import org.flamingopitch.coordination.api.Ids;

/**
 * Names one piece of work that may run at most once. A key that an entry host minted carries its time of creation; any
 * other key is opaque.
 *
 * @param value the key's text
 */
public record IdempotencyKey(@JsonValue String value) implements Comparable<IdempotencyKey> {

    private static final String MINTED_PREFIX = "fp1-";

    private static final int TIME_DIGITS = 12;

    private static final int HEX_RADIX = 16;

    private static final int MAX_LENGTH = 128;

    /**
     * Checks the value.
     *
     * @param value the key's text, up to 128 characters
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public IdempotencyKey {
        Ids.requireText("idempotency key", value);
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("idempotency key must have at most " + MAX_LENGTH + " characters");
        }
    }

    /**
     * Mints a key that carries its time.
     *
     * @param now the current time of the entry host
     * @param random random bits that tell keys of one millisecond apart
     * @return the key
     */
    public static IdempotencyKey mint(Instant now, long random) {
        return new IdempotencyKey(String.format("%s%012x-%016x", MINTED_PREFIX, now.toEpochMilli(), random));
    }

    /**
     * Returns when an entry host minted this key.
     *
     * @return the time, or nothing for an opaque key
     */
    public Optional<Instant> mintedAt() {
        int end = MINTED_PREFIX.length() + TIME_DIGITS;
        if (!value.startsWith(MINTED_PREFIX) || value.length() <= end) {
            return Optional.empty();
        }
        String digits = value.substring(MINTED_PREFIX.length(), end);
        if (!digits.chars().allMatch(digit -> Character.digit(digit, HEX_RADIX) >= 0)) {
            return Optional.empty();
        }
        return Optional.of(Instant.ofEpochMilli(Long.parseLong(digits, HEX_RADIX)));
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
