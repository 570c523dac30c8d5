package org.flamingopitch.daemon.cell;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.transport.peer.RequestOutcome;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Tests the encoding of answers. An answer that cannot be decoded must count as lost, not as a request that was not
 * sent, because the request may have taken effect.
 */
final class JobCodecTest {

    private static final int DAMAGED_FRAMES = Integer.getInteger("fuzz.mutations", 4_000);

    private static final long SEED = Long.getLong("fuzz.seed", 1);

    /** A submission as encoded before hosts sent the version of their configuration. */
    private static final byte[] EARLIER_SUBMISSION = HexFormat.of()
            .parseHex(
                    "84a474797065a65375626d6974a26964a161a571756575658aa46e616d65a161a4686f7374a161a6707265666978a161a773"
                            + "657276696365a161a87072696f7269747902ab6d6178417474656d70747302a773747265746368cb3ff8000000000000ac74"
                            + "61726765744d696c6c697303ad74696d656f75744d696c6c697303a761647669736564c3a47370656385a77061796c6f6164"
                            + "a161a5737465707391de0010a5636f756e7402a664656d616e6483aa6d696c6c69436f72657303af6d656d6f72794d656761"
                            + "627974657303ac616363656c657261746f727302ae657374696d6174654d696c6c697303a561667465729102ad636865636b"
                            + "706f696e74696e67c3a467616e67c3a873616d655261636bc3ad72657175697265644c6162656ca161ad7072656665727265"
                            + "645261636ba161ac6d6178506572576f726b657202ab73706563756c6174697665c3a76c617374696e67c3a5696d616765a1"
                            + "61ac7461726765744d696c6c6973cb3ff8000000000000a566696c6c73c3ae6d6178556e617661696c61626c6502ab726570"
                            + "656174436f756e7402ae66697273744475654d696c6c697303ae696e74657276616c4d696c6c697303");

    private final JobCodec codec = new JobCodec();

    @Test
    void encodedAnswerIsDecodedToEqualAnswer() {
        byte[] body = codec.encode(new JobAnswer.Pending(12));
        assertThat(codec.decodeOutcome(new RequestOutcome.Answered(body)))
                .isEqualTo(new ForwardOutcome.Answered(new JobAnswer.Pending(12)));
    }

    @Test
    void submissionOfAnEarlierVersionOfTheSoftwareIsRead() {
        JobRequest.Submit submit = (JobRequest.Submit) codec.decodeRequest(EARLIER_SUBMISSION);
        assertThat(submit.configurationVersion()).isEqualTo(JobRequest.Submit.UNKNOWN_VERSION);
        assertThat(codec.decodeRequest(codec.encode(submit.withConfigurationVersion(7))))
                .isEqualTo(submit.withConfigurationVersion(7));
    }

    /** An earlier version reads one value and rejects one with additional properties. */
    @Test
    void submissionBeginsWithTheValueThatEarlierVersionsOfTheSoftwareRead() {
        JobRequest.Submit submit = (JobRequest.Submit) codec.decodeRequest(EARLIER_SUBMISSION);
        assertThat(codec.encode(submit.withConfigurationVersion(7))).startsWith(EARLIER_SUBMISSION);
    }

    @Test
    void submissionWithAttributesOfALaterVersionOfTheSoftwareIsRead() throws IOException {
        JobRequest.Submit submit = (JobRequest.Submit) codec.decodeRequest(EARLIER_SUBMISSION);
        byte[] attributes = new ObjectMapper(new MessagePackFactory())
                .writeValueAsBytes(Map.of("configurationVersion", 7, "later", List.of(1, 2)));
        assertThat(codec.decodeRequest(ByteBuffer.allocate(EARLIER_SUBMISSION.length + attributes.length)
                        .put(EARLIER_SUBMISSION)
                        .put(attributes)
                        .array()))
                .isEqualTo(submit.withConfigurationVersion(7));
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
