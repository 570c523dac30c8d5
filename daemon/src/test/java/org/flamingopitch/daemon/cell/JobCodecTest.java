package org.flamingopitch.daemon.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.transport.peer.RequestOutcome;
import org.junit.jupiter.api.Test;

/** Answers of an owner on another host, of which some cannot be read. */
final class JobCodecTest {

    private final JobCodec codec = new JobCodec();

    @Test
    void readsWhatItWrote() {
        byte[] body = codec.encode(new JobAnswer.Pending(12));
        assertThat(codec.decode(new RequestOutcome.Answered(body)))
                .isEqualTo(new ForwardOutcome.Answered(new JobAnswer.Pending(12)));
    }

    @Test
    void unreadableAnswerIsInDoubtLikeALostOne() {
        assertThat(codec.decode(new RequestOutcome.Answered(new byte[] {1, 2, 3})))
                .isInstanceOf(ForwardOutcome.Lost.class);
        assertThat(codec.decode(new RequestOutcome.Answered(new byte[0]))).isInstanceOf(ForwardOutcome.Lost.class);
    }

    @Test
    void unsentRequestIsNotInDoubt() {
        assertThat(codec.decode(new RequestOutcome.NotSent("no connection")))
                .isEqualTo(new ForwardOutcome.NotSent("no connection"));
    }
}
