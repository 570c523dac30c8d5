package org.flamingopitch.daemon.cell;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.transport.peer.RequestOutcome;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the job requests and answers that hosts exchange, in MessagePack. A submission is followed by a
 * second value, its {@link SubmitAttributes}: hosts with an earlier version of the software read the first value only,
 * and reject requests with additional properties.
 */
final class JobCodec {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ObjectWriter requestWriter;

    private final ObjectReader requestReader;

    private final ObjectWriter attributesWriter;

    private final ObjectReader attributesReader;

    private final ObjectWriter answerWriter;

    private final ObjectReader answerReader;

    JobCodec() {
        JsonCodec codec =
                new JsonCodec(new MessagePackFactory(), JobRequest.class, JobAnswer.class).allowAbsentNumbers();
        requestWriter = codec.mapper().writerFor(JobRequest.class);
        requestReader = codec.mapper().readerFor(JobRequest.class);
        attributesWriter = codec.mapper().writerFor(SubmitAttributes.class);
        attributesReader = codec.mapper()
                .readerFor(SubmitAttributes.class)
                .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        answerWriter = codec.mapper().writerFor(JobAnswer.class);
        answerReader = codec.mapper().readerFor(JobAnswer.class);
    }

    byte[] encode(JobRequest request) {
        ByteArrayOutputStream values = new ByteArrayOutputStream();
        values.writeBytes(write(requestWriter, request));
        if (request instanceof JobRequest.Submit submit) {
            values.writeBytes(write(attributesWriter, new SubmitAttributes(submit.configurationVersion())));
        }
        return values.toByteArray();
    }

    JobRequest decodeRequest(byte[] bytes) {
        JobRequest request = read(requestReader, bytes);
        if (request instanceof JobRequest.Submit submit) {
            byte[] attributes = afterFirstValue(bytes);
            if (attributes.length > 0) {
                SubmitAttributes decoded = read(attributesReader, attributes);
                return submit.withConfigurationVersion(decoded.configurationVersion());
            }
        }
        return request;
    }

    private static byte[] afterFirstValue(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.skipValue();
            return Arrays.copyOfRange(bytes, (int) unpacker.getTotalReadBytes(), bytes.length);
        } catch (IOException | MessagePackException e) {
            throw invalidMessage(e);
        }
    }

    byte[] encode(JobAnswer answer) {
        return write(answerWriter, answer);
    }

    JobAnswer decodeAnswer(byte[] bytes) {
        return read(answerReader, bytes);
    }

    /**
     * Translates the outcome of a forwarded request. An answer that cannot be decoded counts as lost, because the
     * request may have taken effect.
     */
    ForwardOutcome decodeOutcome(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Answered answered) {
            try {
                return new ForwardOutcome.Answered(decodeAnswer(answered.body()));
            } catch (IllegalArgumentException e) {
                LOGGER.atWarning().log("event=answer_unreadable step=peer.ask detail=\"%s\"", e.getMessage());
                return new ForwardOutcome.Lost("answer cannot be decoded: " + e.getMessage());
            }
        }
        if (outcome instanceof RequestOutcome.Lost lost) {
            return new ForwardOutcome.Lost(lost.detail());
        }
        return new ForwardOutcome.NotSent(((RequestOutcome.NotSent) outcome).detail());
    }

    private static byte[] write(ObjectWriter writer, Object message) {
        try {
            return writer.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "cannot encode " + message.getClass().getSimpleName() + ": " + e.getMessage(), e);
        }
    }

    private static <T> T read(ObjectReader reader, byte[] bytes) {
        try {
            T message = reader.readValue(bytes);
            if (message == null) {
                throw new IllegalArgumentException("invalid MessagePack message: it is empty");
            }
            return message;
        } catch (IOException | MessagePackException e) {
            throw invalidMessage(e);
        }
    }

    private static IllegalArgumentException invalidMessage(Exception cause) {
        return new IllegalArgumentException("invalid MessagePack message: " + cause.getMessage(), cause);
    }

    /**
     * What a submission contains beside the properties that all versions of the software know.
     *
     * @param configurationVersion the version of the configuration of the host that sends it
     */
    private record SubmitAttributes(long configurationVersion) {}
}
