package org.flamingopitch.daemon.cell;

import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes what hosts ask each other as MessagePack. */
final class JobCodec {

    private final ObjectWriter requestWriter;

    private final ObjectReader requestReader;

    private final ObjectWriter answerWriter;

    private final ObjectReader answerReader;

    JobCodec() {
        JsonCodec codec =
                new JsonCodec(new MessagePackFactory(), JobRequest.class, JobAnswer.class).allowingAbsentNumbers();
        requestWriter = codec.mapper().writerFor(JobRequest.class);
        requestReader = codec.mapper().readerFor(JobRequest.class);
        answerWriter = codec.mapper().writerFor(JobAnswer.class);
        answerReader = codec.mapper().readerFor(JobAnswer.class);
    }

    byte[] encode(JobRequest request) {
        return write(requestWriter, request);
    }

    JobRequest decodeRequest(byte[] bytes) {
        return read(requestReader, bytes);
    }

    byte[] encode(JobAnswer answer) {
        return write(answerWriter, answer);
    }

    JobAnswer decodeAnswer(byte[] bytes) {
        return read(answerReader, bytes);
    }

    private static byte[] write(ObjectWriter writer, Object message) {
        try {
            return writer.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "cannot encode " + message.getClass().getSimpleName(), e);
        }
    }

    private static <T> T read(ObjectReader reader, byte[] bytes) {
        try {
            return reader.readValue(bytes);
        } catch (IOException e) {
            throw new IllegalArgumentException("the frame holds no message: " + e.getMessage(), e);
        }
    }
}
