package org.flamingopitch.scheduler.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.zip.CRC32C;

/** The bytes of a request or an answer, which the scheduler does not interpret. */
public final class Payload {

    /** A payload without bytes. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps an array without copying it; the caller must not change it afterwards.
     *
     * @param bytes the bytes
     * @return the payload
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Payload of(byte[] bytes) {
        return new Payload(bytes);
    }

    /**
     * Encodes a text as UTF-8.
     *
     * @param text the text
     * @return the payload
     */
    public static Payload ofText(String text) {
        return new Payload(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the wrapped array, which must not be changed.
     *
     * @return the bytes
     */
    @JsonValue
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Decodes the bytes as UTF-8.
     *
     * @return the text
     */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        return bytes.length + "B:" + HexFormat.of().toHexDigits((int) checksum.getValue());
    }
}
