package review;

import java.util.ArrayList;
import java.util.List;

/** Workers crash one after the other, each while it runs the same long-running task. */
final class CrashedWorkers extends Case {

    private static final String JOB = "5c0e7a21d94b36f8";

    private static final String TASK = JOB + ".0.0.0";

    private static final int CRASHES = 3;

    private static final long DOWN_MILLIS = 1_000;

    private static final long CALM_MILLIS = 15_000;

    private static final long LATEST_MILLIS = 9_000;

    public static void main(String[] arguments) {
        run(new CrashedWorkers(), arguments);
    }

    @Override
    List<String> play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 8)) {
            String body = "{\"spec\":\"work 0\",\"steps\":[{\"count\":1,\"cpu\":3200,\"memMb\":6400,\"estimatedMs\":500,"
                    + "\"longRunning\":true}]}";
            if (!deployment.submit(JOB, body, 0, 10_000)) {
                throw new IllegalStateException("the job was not accepted");
            }
            for (int crash = 0; trouble && crash < CRASHES; crash++) {
                Worker worker = waitForRun(deployment, record);
                Thread.sleep(700);
                record.line("disruption: worker %s, one of 8, crashes for %d ms", worker.id(), DOWN_MILLIS);
                worker.crash();
                Thread.sleep(DOWN_MILLIS);
                worker.start();
            }
            List<String> broken = new ArrayList<>();
            long calmSince = record.now();
            long runsAt = calmSince;
            while (record.now() < calmSince + CALM_MILLIS) {
                if (deployment.workers().stream().anyMatch(worker -> worker.runs(TASK))) {
                    runsAt = record.now();
                }
                Thread.sleep(20);
            }
            // LOST: 3 s without a run, from 6 s after the last one, after 4 calm seconds.
            if (record.now() - runsAt > LATEST_MILLIS) {
                broken.add("the long-running task " + TASK + " has not run for " + (record.now() - runsAt)
                        + " ms, with 8 workers idle");
            }
            for (int host = 0; host < deployment.hostCount(); host++) {
                Http.Answer answer = deployment.send(host, "GET", JOB, "");
                boolean ended = answer.body().contains("failed") || answer.body().contains("cancelled");
                if (answer.status() == 200 && ended && deployment.ledger().count("failed") == 0) {
                    broken.add("job " + JOB + " is shown as " + answer.body() + "; none of its runs has ended failed, "
                            + "and nobody has cancelled it");
                }
            }
            return broken;
        }
    }

    private static Worker waitForRun(Deployment deployment, Record record) throws InterruptedException {
        long until = record.now() + 15_000;
        while (record.now() < until) {
            for (Worker worker : deployment.workers()) {
                if (worker.up() && worker.runs(TASK)) {
                    return worker;
                }
            }
            Thread.sleep(10);
        }
        throw new IllegalStateException("the task is not started");
    }
}
