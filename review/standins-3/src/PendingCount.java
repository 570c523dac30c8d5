import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The only worker with a label fails all starts while its health check and its list of runs are good. The jobs that need
 * the label wait; GET on the queue has to count them.
 */
final class PendingCount {

    private static final int WORKERS = 12;

    private static final int JOBS = 4;

    private PendingCount() {}

    public static void main(String[] args) {
        Cluster.main(Path.of(args[0]), 3, PendingCount::play);
    }

    private static String play(Cluster cluster, boolean trouble) throws Exception {
        AtomicInteger started = new AtomicInteger();
        Worker.Listener listener = new Worker.Listener() {
            @Override
            public void started(Worker worker, Worker.Run run) {
                started.incrementAndGet();
            }
        };
        for (int i = 0; i < WORKERS - 1; i++) {
            cluster.addWorker(16_000, "a", listener);
        }
        Worker only = cluster.addWorker(16_000, "b", listener);
        cluster.start(4);
        // The first calls of a process are slow.
        for (int i = 0; i < 12; i++) {
            cluster.client.call(cluster.hosts.get(i % 3), "GET", "", null);
            Daemon.pause(150);
        }
        only.failStarts = trouble;
        cluster.record.line(trouble ? "worker %s: answers 503 to starts" : "worker %s: is sound", only.id);
        long troubleUntil = Record.now() + 6_500;
        for (int i = 0; i < JOBS; i++) {
            String step = Cluster.step(1, 1_000, 900).replace("}", ",\"requirements\":\"b\"}");
            Client.Answer answer = cluster.client.call(
                    cluster.hosts.get(i % 3),
                    "POST",
                    String.format("5c0e7a21d94b%04x", i),
                    "{\"spec\":\"work 900 cpu 1000\",\"steps\":[" + step + "]}");
            if (answer.status() != 200) {
                throw new IllegalStateException("a job was not accepted");
            }
        }
        long acceptedAt = Record.now();
        // A job counts from visible_ms + 2 s after its acceptance.
        Daemon.pause(5_050);
        String broken = null;
        int asked = 0;
        while (Record.now() < troubleUntil - 200) {
            int begun = started.get();
            asked++;
            Client.Answer answer = cluster.client.call(cluster.hosts.get(0), "GET", "", null);
            long pending = Json.read(answer.body().getBytes()).path("pending").asLong();
            if (started.get() == begun && 2 * pending < JOBS - begun) {
                broken = "MIXED: pending is " + pending + ", but " + (JOBS - begun) + " jobs accepted "
                        + (Record.now() - acceptedAt) + " ms before have not begun";
            }
            Daemon.pause(200);
        }
        if (asked == 0) {
            throw new IllegalStateException("the jobs were accepted too slowly");
        }
        Daemon.pause(Math.max(0, troubleUntil - Record.now()));
        only.failStarts = false;
        Daemon.pause(4_000);
        cluster.record.line("starts in all: %d", started.get());
        return broken;
    }
}
