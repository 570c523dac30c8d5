package org.flamingopitch.daemon.entry;

import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.transport.peer.PeerCodec;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes the messages between entry hosts, in MessagePack. */
public final class MessagePackPeerCodec implements PeerCodec<PeerMessage> {

    private final ObjectWriter writer;

    private final ObjectReader reader;

    /** Creates a codec. */
    public MessagePackPeerCodec() {
        JsonCodec codec = new JsonCodec(
                new MessagePackFactory(), PeerMessage.class, Outcome.class, JobAnswer.class, JobCommand.class);
        writer = codec.mapper().writerFor(PeerMessage.class);
        reader = codec.mapper().readerFor(PeerMessage.class);
    }

    @Override
    public byte[] encode(PeerMessage message) {
        try {
            return writer.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "cannot encode " + message.getClass().getSimpleName(), e);
        }
    }

    @Override
    public PeerMessage decode(byte[] bytes) {
        try {
            return reader.readValue(bytes);
        } catch (IOException e) {
            throw new IllegalArgumentException("invalid MessagePack message: " + e.getMessage(), e);
        }
    }
}
