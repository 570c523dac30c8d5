package org.flamingopitch.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of one soak, drawn from its seed: series of faults that overlap, each followed by a calm time.
 *
 * @param series the faults of each series, in the order in which they begin
 */
record FaultSchedule(List<List<Fault>> series) {

    /** The calm time after each series: a time without disruption by the rules, and as long again to check in. */
    static final long CALM_MILLIS = 2 * FaultHistory.CONTACT_MILLIS;

    private static final int SERIES = 2;

    private static final int MIN_FAULTS = 4;

    private static final int MAX_FAULTS = 9;

    private static final long SERIES_MILLIS = 7_000;

    private static final long MAX_FAULT_MILLIS = 7_000;

    static FaultSchedule draw(SplittableRandom random) {
        List<List<Fault>> all = new ArrayList<>();
        for (int i = 0; i < SERIES; i++) {
            List<Fault> faults = new ArrayList<>();
            int count = random.nextInt(MIN_FAULTS, MAX_FAULTS + 1);
            for (int j = 0; j < count; j++) {
                FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
                int host = random.nextBoolean() ? Fault.OWNER : random.nextInt(Deployment.HOSTS);
                int worker = random.nextInt(Deployment.WORKERS);
                long beginAt = random.nextLong(SERIES_MILLIS);
                long duration = random.nextLong(kind.minMillis(), MAX_FAULT_MILLIS);
                faults.add(new Fault(kind, host, worker, beginAt, duration));
            }
            faults.sort(Comparator.comparingLong(Fault::beginAt));
            all.add(List.copyOf(faults));
        }
        return new FaultSchedule(List.copyOf(all));
    }
}
