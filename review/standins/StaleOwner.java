package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A job is cancelled at the former owner of the cell, which the store refuses, after another one has accepted it. */
final class StaleOwner extends Case {

    private static final String JOB = "5c0e7a21d94b36f8";

    private static final long REFUSED_MILLIS = 7_000;

    private static final long CANCEL_MILLIS = 3_000;

    private static final long FIRST_STEP_MILLIS = 11_000;

    private static final long FROZEN_MILLIS = 4_000;

    private static void goOn(Deployment deployment, int host, Record record) {
        try {
            deployment.freeze(host, false);
        } catch (IOException | InterruptedException e) {
            record.line("host %d: does not go on: %s", host, e);
        }
    }

    public static void main(String[] arguments) {
        run(new StaleOwner(), arguments);
    }

    @Override
    List<String> play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 6)) {
            int leader = deployment.store().lastConditionalWriter();
            int other = (leader + 1) % deployment.hostCount();
            long begin = record.now();
            if (trouble && "freeze".equals(System.getenv("VARIANT"))) {
                record.line("disruption: host %d, which last wrote under a condition, is frozen for %d ms", leader, FROZEN_MILLIS);
                deployment.freeze(leader, true);
                Daemons.after(FROZEN_MILLIS, () -> goOn(deployment, leader, record));
            } else if (trouble) {
                record.line("disruption: for %d ms the store answers 503 to host %d, which last wrote under a condition",
                        REFUSED_MILLIS, leader);
                deployment.store().refuse(leader, true);
                Daemons.after(REFUSED_MILLIS, () -> {
                    deployment.store().refuse(leader, false);
                    record.line("the disruption is over");
                });
            }
            // Time for the election of another owner.
            Thread.sleep(2_500);
            String body = "{\"spec\":\"work " + FIRST_STEP_MILLIS + "\",\"steps\":["
                    + "{\"count\":2,\"cpu\":1600,\"memMb\":3200,\"estimatedMs\":" + FIRST_STEP_MILLIS + "},"
                    + "{\"count\":4,\"cpu\":1600,\"memMb\":3200,\"estimatedMs\":" + FIRST_STEP_MILLIS + ",\"after\":[0]}]}";
            boolean accepted = deployment.send(other, "POST", JOB, body).status() == 200;
            if (!accepted) {
                Thread.sleep(500);
                accepted = deployment.send(other, "POST", JOB, body).status() == 200;
            }
            if (!accepted) {
                throw new IllegalStateException("the job was not accepted");
            }
            Thread.sleep(300);
            Http.Answer cancel = deployment.send(leader, "DELETE", JOB, "");
            long acknowledgedAt = record.now();
            boolean acknowledged = cancel.status() / 100 == 2 || cancel.status() == 410;
            Thread.sleep(500);
            deployment.send(other, "GET", JOB, "");
            long until = begin + REFUSED_MILLIS + FIRST_STEP_MILLIS + 8_000;
            while (record.now() < until) {
                Thread.sleep(100);
            }
            deployment.send(other, "GET", JOB, "");
            List<String> broken = new ArrayList<>();
            for (String task : deployment.ledger().tasks()) {
                for (Ledger.Entry entry : deployment.ledger().of(task)) {
                    boolean late = entry.what().equals("start") && entry.at() > acknowledgedAt + CANCEL_MILLIS;
                    if (acknowledged && late) {
                        broken.add(task + " run " + entry.run() + " is started at " + entry.at() + " on " + entry.worker()
                                + "; the cancel was answered " + cancel.status() + " at " + acknowledgedAt);
                    }
                }
            }
            return broken;
        }
    }
}
