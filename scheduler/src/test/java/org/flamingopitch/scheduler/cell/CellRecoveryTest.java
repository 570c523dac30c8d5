package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.junit.jupiter.api.Test;

/**
 * Tests that a cell accepts jobs again after all its hosts have lost power around an outage of the store, with random
 * delays and with store calls that are executed although their connection was reset.
 */
final class CellRecoveryTest {

    private static final int SEEDS = Integer.getInteger("recovery.seeds", 300);

    private static final long FIRST_SEED = Long.getLong("recovery.seed", 1);

    private static final int HOSTS = 6;

    /** The users' recovery time on the smallest sites, less the time that a process takes to start. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(8);

    @Test
    void jobsAreAcceptedAgainAfterAllHostsLostPowerDuringAnOutageOfTheStore() {
        List<Long> failedSeeds = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            if (!recovers(seed)) {
                failedSeeds.add(seed);
            }
        }
        assertThat(failedSeeds).as("seeds without recovery").isEmpty();
    }

    private static boolean recovers(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        CellSession session = new CellSession(seed);
        session.store().setLeasesExpire(true);
        session.varyStoreLatency(Duration.ofMillis(1 + random.nextInt(80)));
        session.addWorker("w1", 100_000);
        for (int i = 0; i < HOSTS; i++) {
            session.addHost("h" + i);
        }
        session.advance(Duration.ofSeconds(3));
        session.setStoreConnectionsReset(true);
        for (int i = 0; i < HOSTS; i++) {
            session.advance(Duration.ofMillis(random.nextInt(800)));
            session.killHost("h" + i);
            session.advance(Duration.ofMillis(random.nextInt(400)));
            session.addHost("h" + i);
            if (random.nextInt(4) == 0) {
                session.setStoreConnectionsReset(!session.storeConnectionsReset());
            }
        }
        for (int i = 0; i < HOSTS; i++) {
            session.killHost("h" + i);
        }
        for (int i = 0; i < HOSTS; i++) {
            session.advance(Duration.ofMillis(random.nextInt(500)));
            session.addHost("h" + i);
            if (random.nextInt(3) == 0) {
                session.setStoreConnectionsReset(!session.storeConnectionsReset());
            }
        }
        session.setStoreConnectionsReset(false);
        session.advance(RECOVERY_TIME);
        return allHostsAcceptJobs(session);
    }

    private static boolean allHostsAcceptJobs(CellSession session) {
        List<List<CallerReply>> replies = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            CallerOperation submission = new CallerOperation.Submit(CellSession.job(1, 100, false));
            replies.add(session.call("h" + i, submission, "/q/00000000000000a" + i));
        }
        session.advance(Duration.ofSeconds(3));
        return replies.stream().allMatch(each -> each.equals(List.of(new CallerReply.Done())));
    }
}
