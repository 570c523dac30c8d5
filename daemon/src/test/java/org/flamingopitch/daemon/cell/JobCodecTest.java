package org.flamingopitch.daemon.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.transport.peer.RequestOutcome;
import org.junit.jupiter.api.Test;

/**
 * Tests the encoding of answers. An answer that cannot be decoded must count as lost, not as a request that was not
 * sent, because the request may have taken effect.
 */
final class JobCodecTest {

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

    @Test
    void unsentRequestIsReportedAsNotSent() {
        assertThat(codec.decodeOutcome(new RequestOutcome.NotSent("no connection")))
                .isEqualTo(new ForwardOutcome.NotSent("no connection"));
    }
}
