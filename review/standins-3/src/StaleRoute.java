import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One process is cut off from the store for 5 s. Meanwhile the operator sends the queue to another service, and the only
 * worker of the former one is emptied and taken away. Jobs that the process accepts have to run on the other service.
 */
final class StaleRoute {

    private static final int WORKERS = 15;

    private static final int JOBS = 6;

    private static final long CUT_MILLIS = 5_000;

    private static final long DRAIN_MILLIS = 3_000;

    private static final long FINISH_MILLIS = 14_000;

    private StaleRoute() {}

    public static void main(String[] args) {
        Cluster.main(Path.of(args[0]), 3, StaleRoute::play);
    }

    private static String play(Cluster cluster, boolean trouble) throws Exception {
        Set<String> started = ConcurrentHashMap.newKeySet();
        Worker.Listener listener = new Worker.Listener() {
            @Override
            public void started(Worker worker, Worker.Run run) {
                started.add(run.task.substring(0, run.task.indexOf('.')));
            }
        };
        Worker former = cluster.addWorker(Cluster.SERVICE, 16_000, "a", listener);
        for (int i = 0; i < WORKERS; i++) {
            cluster.addWorker(Cluster.OTHER_SERVICE, 16_000, "a", listener);
        }
        cluster.start(4);
        Daemon.pause(2_000);
        Host owner = cluster.owner();
        Host host = cluster.hosts.stream().filter(each -> each != owner).findFirst().orElseThrow();
        long cutAt = Record.now();
        if (trouble) {
            cluster.record.line("process %s: cut off from the store", host.ip);
            host.storeLink.cut();
        }
        Daemon.pause(300);
        cluster.configure(9, 4, Cluster.OTHER_SERVICE);
        Daemon.thread(() -> former.leave(DRAIN_MILLIS)).start();
        // The worker is known to drain everywhere, so that it gets no new tasks.
        Daemon.pause(2_000);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = String.format("5c0e7a21d94b%04x", i);
            String body = "{\"spec\":\"work 800 cpu 1000\",\"steps\":[" + Cluster.step(2, 1_000, 800) + "]}";
            if (cluster.client.call(host, "POST", job, body).status() == 200) {
                jobs.add(job);
            }
            Daemon.pause(150);
        }
        if (jobs.isEmpty()) {
            throw new IllegalStateException("no job was accepted");
        }
        Daemon.pause(Math.max(0, cutAt + CUT_MILLIS - Record.now()));
        if (trouble) {
            host.storeLink.heal();
            cluster.record.line("process %s: reaches the store again", host.ip);
        }
        Daemon.pause(FINISH_MILLIS);
        List<String> lost = new ArrayList<>();
        for (String job : jobs) {
            for (Host each : cluster.hosts) {
                cluster.client.call(each, "GET", job, null);
            }
            if (!started.contains(job)) {
                lost.add(job);
            }
        }
        return lost.isEmpty()
                ? null
                : "LOST: accepted, and nothing of them has run " + FINISH_MILLIS / 1_000 + " s after the cut, with "
                        + WORKERS + " idle workers in the queue's service: " + lost;
    }
}
