package org.flamingopitch.transport.peer;

import java.nio.charset.StandardCharsets;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The first frame that each side of a connection sends: its protocol version and process id.
 *
 * @param version the protocol version of the sender
 * @param id the process id of the sender
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
            throw new IllegalArgumentException("the first frame is not a hello frame of this protocol");
        }
        try {
            return new PeerHello(Integer.parseInt(words[1]), new ProcessId(words[2]));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("the hello frame has no numeric protocol version: " + words[1], e);
        }
    }

    byte[] encode() {
        return (MAGIC + version + " " + id).getBytes(StandardCharsets.UTF_8);
    }

    void requireSupportedVersion() {
        if (version != VERSION) {
            throw new IllegalArgumentException(
                    "peer " + id + " uses protocol version " + version + ", expected " + VERSION);
        }
    }
}
