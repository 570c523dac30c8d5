import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Workers crash one after the other, and start again under their id as workers of another kind. Tasks that require the
 * label of the former kind must not start there.
 */
final class OtherKind {

    private static final int WORKERS = 8;

    private static final int ROUNDS = 5;

    private static final long DOWN_MILLIS = 1_500;

    private OtherKind() {}

    public static void main(String[] args) {
        Cluster.main(Path.of(args[0]), 3, OtherKind::play);
    }

    private static String play(Cluster cluster, boolean trouble) throws Exception {
        AtomicReference<String> broken = new AtomicReference<>();
        Worker.Listener listener = new Worker.Listener() {
            @Override
            public void started(Worker worker, Worker.Run run) {
                if (!worker.kind().equals("a")) {
                    String text = "ROUTE: " + run.task + " run " + run.run + " requires the label a and starts on "
                            + worker.id + ", which has the label " + worker.kind();
                    cluster.record.line("%s", text);
                    broken.compareAndSet(null, text);
                }
            }
        };
        for (int i = 0; i < WORKERS; i++) {
            cluster.addWorker(8_000, "a", listener);
        }
        cluster.start(4);
        String step = Cluster.step(12, 1_000, 2_000).replace("}", ",\"requirements\":\"a\"}");
        Daemon.thread(() -> {
                    for (int i = 0; true; i++) {
                        cluster.client.call(
                                cluster.hosts.get(i % 3),
                                "POST",
                                String.format("5c0e7a21d94b%04x", i),
                                "{\"spec\":\"work 2000 cpu 1000\",\"steps\":[" + step + "]}");
                        Daemon.pause(350);
                    }
                })
                .start();
        Daemon.pause(6_000);
        for (int i = 0; i < ROUNDS && broken.get() == null; i++) {
            Worker worker = cluster.workers.get(i);
            if (trouble) {
                worker.crash();
                Daemon.pause(DOWN_MILLIS);
                worker.start(worker.id, worker.cpu, "b");
            }
            Daemon.pause(4_000);
        }
        return broken.get();
    }
}
