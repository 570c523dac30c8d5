package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.junit.jupiter.api.Test;

/** Tests which version of a queue a submission belongs to when hosts have different versions of the configuration. */
final class KnownQueuesTest {

    private static final JobSpec SPEC = new JobSpec("work", List.of(), 0, 0, 0);

    private static QueueSpec queue(String name, String prefix, int priority) {
        return new QueueSpec(
                new QueueName(name),
                "callers.example",
                prefix,
                new ServiceName("pool"),
                priority,
                3,
                2,
                1_000,
                3_000,
                false);
    }

    private static CellConfiguration version(long version, QueueSpec... queues) {
        return new CellConfiguration(version, List.of(queues), 100_000);
    }

    private static JobRequest.Submit submission(long version, QueueSpec queue) {
        return new JobRequest.Submit(new JobId("00000000000000aa"), queue, version, SPEC);
    }

    @Test
    void priorityAndLimitsOfAnOlderConfigurationAreNotUsed() {
        KnownQueues queues = new KnownQueues(version(5, queue("q", "/q/", 1)));
        assertThat(queues.learn(submission(4, queue("q", "/q/", 0)))).isFalse();
        assertThat(queues.resolve(submission(4, queue("q", "/q/", 0)))).contains(queue("q", "/q/", 1));
    }

    @Test
    void newerQueueIsNotReplacedByVersionsBetween() {
        KnownQueues queues = new KnownQueues(version(5, queue("q", "/q/", 1)));
        assertThat(queues.learn(submission(9, queue("q", "/q/", 3)))).isTrue();
        assertThat(queues.learn(submission(7, queue("q", "/q/", 2)))).isFalse();
        queues.apply(version(8, queue("q", "/q/", 0)));
        assertThat(queues.queue(new QueueName("q"))).contains(queue("q", "/q/", 3));
        assertThat(queues.resolve(submission(7, queue("q", "/q/", 2)))).contains(queue("q", "/q/", 3));
    }

    @Test
    void newerQueueDoesNotOutliveTheConfigurationThatDropsIt() {
        KnownQueues queues = new KnownQueues(version(5));
        queues.learn(submission(7, queue("q", "/q/", 1)));
        queues.apply(version(9));
        assertThat(queues.resolve(submission(7, queue("q", "/q/", 1)))).isEmpty();
        assertThat(queues.queue(new QueueName("q"))).isEmpty();
    }

    @Test
    void queueThatANewerConfigurationHasRenamedIsNotReplacedByTheFormerOneOnItsPath() {
        KnownQueues queues = new KnownQueues(version(5, queue("q", "/q/", 1)));
        JobRequest.Submit renamed = submission(7, queue("r", "/q/", 2));
        queues.learn(renamed);
        assertThat(queues.resolve(renamed)).contains(queue("r", "/q/", 2));
        assertThat(queues.resolve(submission(4, queue("q", "/q/", 0)))).contains(queue("r", "/q/", 2));
    }

    @Test
    void submissionOfANewerConfigurationIsNotRefusedBecauseOfALongerPathThatItHasDropped() {
        KnownQueues queues = new KnownQueues(version(5, queue("long", "/q/00", 1)));
        JobRequest.Submit submit = submission(7, queue("q", "/q/", 2));
        queues.learn(submit);
        assertThat(queues.resolve(submit)).contains(queue("q", "/q/", 2));
    }

    @Test
    void submissionIsRefusedWhoseIdWouldBeAnotherOneInTheNewerConfiguration() {
        KnownQueues queues = new KnownQueues(version(5, queue("r", "/q/a/", 1)));
        assertThat(queues.resolve(submission(4, queue("q", "/q/a/b/", 1)))).isEmpty();
    }

    /** The host may have a newer configuration, so that a queue that the owner does not know is not refused. */
    @Test
    void submissionOfAnUnknownVersionIsRefusedForNoQueue() {
        long unknown = JobRequest.Submit.UNKNOWN_VERSION;
        KnownQueues queues = new KnownQueues(version(5, queue("q", "/q/", 1)));
        assertThat(queues.learn(submission(unknown, queue("q", "/q/", 0)))).isFalse();
        assertThat(queues.resolve(submission(unknown, queue("q", "/q/", 0)))).contains(queue("q", "/q/", 1));
        assertThat(queues.resolve(submission(unknown, queue("new", "/new/", 0))))
                .contains(queue("new", "/new/", 0));
    }
}
