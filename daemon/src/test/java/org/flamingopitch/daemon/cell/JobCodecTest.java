package org.flamingopitch.daemon.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.transport.peer.RequestOutcome;
import org.junit.jupiter.api.Test;

/**
 * Tests the encoding of answers. An answer that cannot be decoded must count as lost, not as a request that was not
 * sent, because the request may have taken effect.
 */
final class JobCodecTest {

    private static final int DAMAGED_FRAMES = Integer.getInteger("fuzz.mutations", 4_000);

    private static final long SEED = Long.getLong("fuzz.seed", 1);

    private final JobCodec codec = new JobCodec();

    @Test
    void encodedAnswerIsDecodedToEqualAnswer() {
        byte[] body = codec.encode(new JobAnswer.Pending(12));
        assertThat(codec.decodeOutcome(new RequestOutcome.Answered(body)))
                .isEqualTo(new ForwardOutcome.Answered(new JobAnswer.Pending(12)));
    }

    @Test
    void undecodableAnswerIsReportedAsLost() {
        assertThat(codec.decodeOutcome(new RequestOutcome.Answered(new byte[] {1, 2, 3})))
                .isInstanceOf(ForwardOutcome.Lost.class);
        assertThat(codec.decodeOutcome(new RequestOutcome.Answered(new byte[0])))
                .isInstanceOf(ForwardOutcome.Lost.class);
    }

    /** A frame may be damaged or come from another version; an error of another type would reach the event loop. */
    @Test
    void damagedRequestsAreDecodedOrRejectedWithATypedError() {
        SplittableRandom random = new SplittableRandom(SEED);
        List<byte[]> samples = SampleValues.subtypes(JobRequest.class).stream()
                .map(type -> codec.encode((JobRequest) SampleValues.of(type)))
                .toList();
        for (int i = 0; i < DAMAGED_FRAMES; i++) {
            byte[] damaged = damage(samples.get(random.nextInt(samples.size())), random);
            try {
                assertThat(codec.decodeRequest(damaged)).isNotNull();
            } catch (IllegalArgumentException e) {
                assertThat(e.getMessage()).startsWith("invalid MessagePack message");
            }
        }
    }

    private static byte[] damage(byte[] sample, SplittableRandom random) {
        byte[] damaged = Arrays.copyOf(sample, random.nextInt(4) == 0 ? random.nextInt(sample.length) : sample.length);
        for (int i = 0; i < 1 + random.nextInt(3) && damaged.length > 0; i++) {
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
        }
        return damaged;
    }

    @Test
    void unsentRequestIsReportedAsNotSent() {
        assertThat(codec.decodeOutcome(new RequestOutcome.NotSent("no connection")))
                .isEqualTo(new ForwardOutcome.NotSent("no connection"));
    }
}
