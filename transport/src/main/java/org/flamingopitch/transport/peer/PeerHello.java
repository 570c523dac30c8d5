package org.flamingopitch.transport.peer;

import java.nio.charset.StandardCharsets;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The first frame of each side of a connection.
 *
 * @param version the version of the protocol
 * @param id the sender
 */
record PeerHello(int version, ProcessId id) {

    static final int VERSION = 1;

    private static final String MAGIC = "flamingopitch ";

    static PeerHello of(ProcessId id) {
        return new PeerHello(VERSION, id);
    }

    static PeerHello decode(byte[] frame) {
        String text = new String(frame, StandardCharsets.UTF_8);
        String[] words = text.split(" ", 3);
        if (words.length != 3 || !text.startsWith(MAGIC)) {
            throw new IllegalArgumentException("the first frame is no greeting of this system");
        }
        try {
            return new PeerHello(Integer.parseInt(words[1]), new ProcessId(words[2]));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("the greeting has no version: " + words[1], e);
        }
    }

    byte[] encode() {
        return (MAGIC + version + " " + id).getBytes(StandardCharsets.UTF_8);
    }

    void requireVersion() {
        if (version != VERSION) {
            throw new IllegalArgumentException("peer " + id + " speaks version " + version + ", expected " + VERSION);
        }
    }
}
