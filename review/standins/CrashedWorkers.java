package review;

import java.util.ArrayList;
import java.util.List;

/** Workers crash one after the other, each while it runs a task of the same job. */
final class CrashedWorkers extends Case {

    private static final String JOB = "5c0e7a21d94b36f8";

    private static final int CRASHES = 3;

    private static final long DOWN_MILLIS = 1_000;

    private static final long WORK_MILLIS = 2_200;

    public static void main(String[] arguments) {
        run(new CrashedWorkers(), arguments);
    }

    @Override
    List<String> play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 8)) {
            String body = "{\"spec\":\"work " + WORK_MILLIS + "\",\"steps\":[{\"count\":1,\"cpu\":1800,\"memMb\":3200,\"estimatedMs\":"
                    + WORK_MILLIS + "}]}";
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
            String state = "";
            for (int i = 0; i < 30 && !state.contains("done") && broken.isEmpty(); i++) {
                Thread.sleep(500);
                Http.Answer answer = deployment.send(i % 3, "GET", JOB, "");
                state = answer.body();
                if (answer.status() == 200 && state.contains("failed") && deployment.ledger().count("failed") == 0) {
                    broken.add("job " + JOB + " is shown as failed; none of its runs has ended failed");
                }
            }
            return broken;
        }
    }

    private static Worker waitForRun(Deployment deployment, Record record) throws InterruptedException {
        long until = record.now() + 15_000;
        while (record.now() < until) {
            for (Worker worker : deployment.workers()) {
                if (worker.up() && worker.runs(JOB + ".0.0.0")) {
                    return worker;
                }
            }
            Thread.sleep(10);
        }
        throw new IllegalStateException("the task is not started");
    }
}
