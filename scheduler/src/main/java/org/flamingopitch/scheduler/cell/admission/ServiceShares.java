package org.flamingopitch.scheduler.cell.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.QueueName;

/**
 * Compares, by queue and size class, the value of the jobs that were served in time with the value that was requested,
 * in overload. Jobs of a class that gets less than the average are ordered before others and may wait longer, so that no
 * class starves.
 */
public final class ServiceShares {

    /** As long as several bursts take, so that a class that lost in one burst gains in the next. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(10);

    private static final double MAX_BOOST = 2;

    private static final int RECENT_JOBS = 200;

    /** Value that each class is assumed to have requested and been served as the average, so that one job decides little. */
    private static final double ASSUMED_VALUE = 2;

    /** Queues whose recent jobs are remembered; queues come and go with the configuration. */
    private static final int MAX_QUEUES = 500;

    /** Value below which the sums of a class are dropped. */
    private static final double NEGLIGIBLE_VALUE = 0.001;

    private final Map<QueueName, Deque<Long>> recentWork = new LinkedHashMap<>(16, 0.75F, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<QueueName, Deque<Long>> eldest) {
            return size() > MAX_QUEUES;
        }
    };

    private final Map<ClassKey, Sums> sums = new HashMap<>();

    private final Sums total = new Sums();

    private Instant decayedAt;

    /**
     * Classifies a new job among the last 200 of its queue.
     *
     * @param queue the queue
     * @param work the job's work
     * @return the class
     */
    public SizeClass classify(QueueName queue, long work) {
        Deque<Long> recent = recentWork.computeIfAbsent(queue, key -> new ArrayDeque<>());
        recent.add(work);
        if (recent.size() > RECENT_JOBS) {
            recent.poll();
        }
        double larger = 0;
        for (long other : recent) {
            // Of equal jobs, the new one counts as the middle one: they all belong to one class.
            larger += other > work ? 1 : other == work ? 0.5 : 0;
        }
        return SizeClass.of(larger / recent.size());
    }

    /**
     * Adds a job whose outcome is known: it was rejected, it has ended, or its objective has passed.
     *
     * @param queue the queue
     * @param sizeClass the class of the job
     * @param value the value that was requested; 1 for a job of average work
     * @param servedInTime whether the job ended by its objective
     * @param now the time
     */
    public void add(QueueName queue, SizeClass sizeClass, double value, boolean servedInTime, Instant now) {
        decay(now);
        sums.computeIfAbsent(new ClassKey(queue, sizeClass), key -> new Sums()).add(value, servedInTime);
        total.add(value, servedInTime);
    }

    /**
     * Returns the share of its value that a class was served, divided by that of all classes together.
     *
     * @param queue the queue
     * @param sizeClass the class
     * @return the ratio; 1 if nothing is known
     */
    public double share(QueueName queue, SizeClass sizeClass) {
        Sums own = sums.get(new ClassKey(queue, sizeClass));
        if (own == null || total.requested <= 0 || total.served <= 0) {
            return 1;
        }
        double average = Math.min(1, total.served / total.requested);
        double ratio = (own.served + ASSUMED_VALUE * average) / (own.requested + ASSUMED_VALUE);
        return ratio / average;
    }

    /**
     * Returns the factor on the weight and on the allowed time of the jobs of a class.
     *
     * @param queue the queue
     * @param sizeClass the class
     * @return the factor, from 1 for a class that gets at least the average to 2
     */
    public double boost(QueueName queue, SizeClass sizeClass) {
        return Math.max(1, Math.min(MAX_BOOST, 1 / share(queue, sizeClass)));
    }

    /**
     * Returns the sums, to be stored.
     *
     * @return the sums of each class
     */
    public List<Stored> records() {
        List<Stored> records = new ArrayList<>();
        sums.forEach(
                (key, value) -> records.add(new Stored(key.queue(), key.sizeClass(), value.requested, value.served)));
        return records;
    }

    /**
     * Adds the sums that a former owner stored.
     *
     * @param records the sums
     */
    public void restore(List<Stored> records) {
        for (Stored record : records) {
            Sums own = sums.computeIfAbsent(new ClassKey(record.queue(), record.sizeClass()), key -> new Sums());
            own.requested += record.requested();
            own.served += record.served();
            total.requested += record.requested();
            total.served += record.served();
        }
    }

    private void decay(Instant now) {
        if (decayedAt != null) {
            double halfLives = (double) Duration.between(decayedAt, now).toMillis() / HALF_LIFE.toMillis();
            double factor = Math.pow(0.5, Math.max(0, halfLives));
            sums.values().forEach(each -> each.multiply(factor));
            sums.values().removeIf(each -> each.requested < NEGLIGIBLE_VALUE);
            total.multiply(factor);
        }
        decayedAt = now;
    }

    private record ClassKey(QueueName queue, SizeClass sizeClass) {}

    /**
     * The sums of one class as they are stored.
     *
     * @param queue the queue
     * @param sizeClass the class
     * @param requested the value that was requested
     * @param served the value that was served in time
     */
    public record Stored(QueueName queue, SizeClass sizeClass, double requested, double served) {}

    private static final class Sums {

        private double requested;

        private double served;

        private void add(double value, boolean servedInTime) {
            requested += value;
            served += servedInTime ? value : 0;
        }

        private void multiply(double factor) {
            requested *= factor;
            served *= factor;
        }
    }
}
