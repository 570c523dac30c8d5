import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The owner is killed; 8 s after it is back, the open connections to the store go silent; then the operator adds a route. Later than the time
 * that a process has for it, and with the process in touch again, requests for the route must not be answered 404.
 */
final class SilentStore {

    private static final int WORKERS = 4;

    private static final int ROUNDS = 5;

    private static final long CONTACT_MILLIS = 4_000;

    private static final long CONFIG_APPLY_MILLIS = 3_000;

    private static final long WATCH_MILLIS = 1_500;

    private static final long OWNER_DOWN_MILLIS = 3_000;

    /** Twice as long as the processes need to be in touch again. */
    private static final long CALM_MILLIS = 8_000;

    private static final int CALLERS = 6;

    private static final String JOB = "5c0e7a21d94b36f8";

    private SilentStore() {}

    public static void main(String[] args) {
        Cluster.main(Path.of(args[0]), 3, SilentStore::play);
    }

    private static String play(Cluster cluster, boolean trouble) throws Exception {
        for (int i = 0; i < WORKERS; i++) {
            cluster.addWorker(16_000, "a", new Worker.Listener() {});
        }
        cluster.start(4);
        Daemon.pause(1_500);
        cluster.client.call(
                cluster.hosts.get(0),
                "POST",
                JOB,
                "{\"spec\":\"work 300 cpu 1000\",\"steps\":[" + Cluster.step(1, 1_000, 300) + "]}");
        Daemon.pause(1_000);
        List<String> prefixes = new ArrayList<>(List.of(Client.PREFIX));
        String broken = null;
        for (int round = 0; round < ROUNDS && broken == null; round++) {
            if (trouble) {
                replaceOwner(cluster);
            }
            Daemon.pause(CALM_MILLIS);
            broken = addRoute(cluster, prefixes, round, trouble);
        }
        return broken;
    }

    /** Kills the owner while clients ask the others for the state of a job, and starts it again. */
    private static void replaceOwner(Cluster cluster) throws Exception {
        Host owner = cluster.owner();
        owner.kill();
        List<Thread> callers = new ArrayList<>();
        for (Host host : cluster.hosts) {
            for (int i = 0; i < CALLERS && host != owner; i++) {
                Thread caller = Daemon.thread(() -> cluster.client.call(host, "GET", JOB, null));
                caller.start();
                callers.add(caller);
            }
        }
        Daemon.pause(OWNER_DOWN_MILLIS);
        owner.start();
        for (Thread caller : callers) {
            caller.join();
        }
    }

    private static String addRoute(Cluster cluster, List<String> prefixes, int round, boolean trouble) throws Exception {
        String prefix = "/pufi79" + round + "/";
        prefixes.add(prefix);
        long silentAt = Record.now();
        if (trouble) {
            cluster.record.line("the open connections to the store go silent");
            cluster.hosts.forEach(host -> host.storeLink.silence());
        }
        Daemon.pause(100);
        cluster.configure(8 + round, 4, Cluster.SERVICE, prefixes.toArray(String[]::new));
        long acknowledgedAt = Record.now();
        long from = Math.max(silentAt + CONTACT_MILLIS, acknowledgedAt + CONFIG_APPLY_MILLIS) + 50;
        Daemon.pause(from - Record.now());
        String broken = null;
        while (Record.now() < from + WATCH_MILLIS) {
            for (Host host : cluster.hosts) {
                long sentAt = Record.now();
                if (cluster.client.call(host, prefix, "GET", "", null).status() == 404) {
                    broken = "CONFIG: " + host.ip + " answers 404 for a route whose version was acknowledged "
                            + (sentAt - acknowledgedAt) + " ms before, " + (sentAt - silentAt) + " ms after the silence";
                }
            }
            Daemon.pause(40);
        }
        return broken;
    }
}
