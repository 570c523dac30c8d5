package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Decides by a seed what the platform's list of workers shows in a drawn session: it is sound, late, incomplete or
 * unavailable for a time each. Workers are replaced all the time: those with work until the last disruption, and others,
 * which drain from their start and so get no work, also afterwards.
 */
final class DrawnListing {

    private static final int MAX_LAG_MILLIS = 800;

    /** Leaves time for two sound listings before jobs are judged. */
    private static final int FAULTS_AFTER_DISRUPTION_MILLIS = 4_000;

    private static final int REPLACEMENTS_AFTER_DISRUPTION_MILLIS = 12_000;

    private static final int FIRST_REPLACEMENT_MILLIS = 4_000;

    /** Keeps the draws apart from those of the session and of its closing, so that their seeds keep their meaning. */
    private static final long SALT = 0x6c697374L;

    private final SplittableRandom random;

    private int addedWorkers;

    private enum Fault {
        NONE,
        LATE,
        INCOMPLETE,
        UNAVAILABLE
    }

    DrawnListing(long seed) {
        random = new SplittableRandom(seed ^ SALT);
    }

    /** Offers the listing, and schedules its faults and the replacement of workers. */
    void schedule(DrawnSession drawn, CellSession session, Duration lastDisruption) {
        FakeLiveWorkers listing = session.liveWorkers();
        listing.setOffered(true);
        long last = lastDisruption.toMillis();
        long millis = 0;
        while (millis < last + FAULTS_AFTER_DISRUPTION_MILLIS) {
            Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
            scheduleFault(drawn, listing, millis, fault);
            millis += 500 + random.nextInt(4_000);
        }
        Fault remaining = random.nextInt(3) == 0 ? Fault.NONE : Fault.LATE;
        scheduleFault(drawn, listing, last + FAULTS_AFTER_DISRUPTION_MILLIS, remaining);
        replaceWorkersWithWork(drawn, last);
        replaceDrainingWorkers(drawn, session, last + REPLACEMENTS_AFTER_DISRUPTION_MILLIS);
        if (random.nextInt(3) == 0) {
            loseHostAndWorkers(drawn, last);
        }
    }

    /** Loses a host for good, which may be the owner, so that a successor cannot ask it when its leases end. */
    private void loseHostAndWorkers(DrawnSession drawn, long last) {
        drawn.at(Duration.ofMillis(last - 500), () -> drawn.hosts().loseForGood("h2"));
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            int index = random.nextInt(1_000);
            long millis = last - random.nextInt(1_000);
            drawn.at(Duration.ofMillis(millis), () -> drawn.replaceRunning(index, false));
        }
    }

    private void scheduleFault(DrawnSession drawn, FakeLiveWorkers listing, long millis, Fault fault) {
        Duration lag = Duration.ofMillis(fault == Fault.LATE ? 50 + random.nextInt(MAX_LAG_MILLIS - 49) : 0);
        int pages = 2 + random.nextInt(4);
        int missing = random.nextInt(pages);
        UnaryOperator<Set<WorkerId>> distortion = fault == Fault.INCOMPLETE
                ? live -> live.stream()
                        .filter(worker -> Math.floorMod(worker.value().hashCode(), pages) != missing)
                        .collect(Collectors.toSet())
                : UnaryOperator.identity();
        drawn.at(Duration.ofMillis(millis), () -> {
            listing.setFailing(fault == Fault.UNAVAILABLE);
            listing.setLag(lag);
            listing.setDistortion(distortion);
        });
    }

    private void replaceWorkersWithWork(DrawnSession drawn, long last) {
        int interval = random.nextInt(3) == 0 ? Integer.MAX_VALUE : 1_000 + random.nextInt(3_000);
        for (long millis = FIRST_REPLACEMENT_MILLIS; millis < last; millis += interval) {
            int index = random.nextInt(1_000);
            Duration time = Duration.ofMillis(millis);
            switch (random.nextInt(3)) {
                case 0 -> drawn.at(time, () -> drawn.replaceRunning(index, true));
                case 1 -> drawn.at(time, () -> drawn.replaceRunning(index, false));
                default -> drawn.at(time, drawn::addNextWorker);
            }
        }
    }

    private void replaceDrainingWorkers(DrawnSession drawn, CellSession session, long end) {
        int interval = random.nextInt(3) == 0 ? Integer.MAX_VALUE : 100 + random.nextInt(900);
        boolean sameAddress = random.nextBoolean();
        for (long millis = FIRST_REPLACEMENT_MILLIS; millis < end; millis += interval) {
            String name = "d" + addedWorkers;
            addedWorkers++;
            String address = (sameAddress ? "d" + addedWorkers % 20 : name) + ":1";
            drawn.at(
                    Duration.ofMillis(millis),
                    () -> session.addWorker(name, address, 1_000).setDraining(true));
            int life = Math.min(1_500 + random.nextInt(3_000), 19 * Math.max(100, Math.min(interval, 10_000)));
            drawn.at(Duration.ofMillis(millis + life), () -> session.removeWorker(name));
        }
    }
}
