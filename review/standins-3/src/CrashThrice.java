import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The worker that has a task crashes shortly after its start, three times in a row; then the same with a task that lasts.
 * No run ends as failed, so that neither job may be shown as failed.
 */
final class CrashThrice {

    private static final int WORKERS = 8;

    private static final int CRASHES = 3;

    private static final long CRASH_DELAY_MILLIS = 600;

    private static final long DOWN_MILLIS = 1_500;

    private static final String SHORT_JOB = "5c0e7a21d94b36f8";

    private static final String LASTING_JOB = "5c0e7a21d94b36f9";

    private CrashThrice() {}

    public static void main(String[] args) {
        Cluster.main(Path.of(args[0]), 3, CrashThrice::play);
    }

    private static String play(Cluster cluster, boolean trouble) throws Exception {
        AtomicInteger starts = new AtomicInteger();
        Set<String> failedTasks = ConcurrentHashMap.newKeySet();
        Worker.Listener listener = new Worker.Listener() {
            @Override
            public void started(Worker worker, Worker.Run run) {
                if (starts.incrementAndGet() <= CRASHES && trouble) {
                    Daemon.thread(() -> crash(worker)).start();
                }
            }

            @Override
            public void ended(Worker worker, Worker.Run run, String how) {
                if (how.equals("failed")) {
                    failedTasks.add(run.task);
                }
            }
        };
        for (int i = 0; i < WORKERS; i++) {
            cluster.addWorker(16_000, "a", listener);
        }
        cluster.start(4);
        String step = Cluster.step(1, 2_000, 1_500);
        String shortState = submitAndWatch(cluster, SHORT_JOB, "work 1500 cpu 2000", step);
        starts.set(0);
        String lasting = step.replace("}", ",\"longRunning\":true}");
        String lastingState = submitAndWatch(cluster, LASTING_JOB, "work 10000000 cpu 2000", lasting);
        String broken = null;
        if (failedTasks.isEmpty() && shortState.equals("failed")) {
            broken = "LOST: " + SHORT_JOB + " is shown as failed, though no run has ended as failed";
        }
        if (lastingState.equals("failed")) {
            broken = (broken == null ? "" : broken + "; ") + "LOST: " + LASTING_JOB
                    + " is shown as failed, though its task lasts until it is cancelled";
        }
        return broken;
    }

    /** Submits a job and returns its state once it has ended, or after some time without a crash. */
    private static String submitAndWatch(Cluster cluster, String job, String spec, String step) {
        String body = "{\"spec\":\"" + spec + "\",\"steps\":[" + step + "]}";
        if (cluster.client.call(cluster.hosts.get(0), "POST", job, body).status() != 200) {
            throw new IllegalStateException("the job was not accepted");
        }
        String state = "";
        for (int i = 0; i < 60 && !state.equals("failed") && !state.equals("done"); i++) {
            Daemon.pause(400);
            Client.Answer answer = cluster.client.call(cluster.hosts.get(1), "GET", job, null);
            state = Json.read(answer.body().getBytes()).path("state").asText();
        }
        return state;
    }

    private static void crash(Worker worker) {
        Daemon.pause(CRASH_DELAY_MILLIS);
        worker.crash();
        Daemon.pause(DOWN_MILLIS);
        try {
            // A new incarnation at the same address.
            worker.start(worker.id + "x", worker.cpu, "a");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
