package review;

import java.util.List;

/** More than 500 tasks end on one worker while the owner of the cell is replaced, or while the store is down. */
final class ManyEnds extends Case {

    private static final int JOBS = 28;

    private static final int WIDTH = 32;

    private static final long WORK_MILLIS = 1_600;

    private static final long DOWN_MILLIS = 3_500;

    private static final long OUTAGE_MILLIS = 4_500;

    public static void main(String[] arguments) {
        run(new ManyEnds(), arguments);
    }

    @Override
    List<String> play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 3)) {
            for (int job = 0; job < JOBS; job++) {
                String body = "{\"spec\":\"work " + WORK_MILLIS + "\",\"steps\":[{\"count\":" + WIDTH
                        + ",\"cpu\":17,\"memMb\":32,\"estimatedMs\":" + WORK_MILLIS + "}]}";
                int host = job % deployment.hostCount();
                String id = id(job);
                Thread client = Daemons.thread(() -> submit(deployment, id, body, host));
                client.start();
                Thread.sleep(40);
            }
            waitForStarts(deployment, JOBS * WIDTH, record);
            if (trouble && "outage".equals(System.getenv("VARIANT"))) {
                refuseAll(deployment, record);
            } else if (trouble) {
                int leader = deployment.store().lastConditionalWriter();
                record.line("disruption: host %d, which last wrote under a condition, is killed for %d ms", leader, DOWN_MILLIS);
                deployment.kill(leader, DOWN_MILLIS);
            }
            Thread.sleep(18_000);
            int done = deployment.ledger().count("done");
            record.line("starts %d, ends done %d, of %d tasks",
                    deployment.ledger().count("start"), done, JOBS * WIDTH);
            for (int job = 0; job < JOBS; job++) {
                deployment.send(0, "GET", id(job), "");
            }
            return deployment.ledger().startsAfterDone();
        }
    }

    private static void refuseAll(Deployment deployment, Record record) throws InterruptedException {
        record.line("disruption: the store answers 503 to all hosts for %d ms", OUTAGE_MILLIS);
        setRefused(deployment, true);
        Thread.sleep(OUTAGE_MILLIS);
        setRefused(deployment, false);
        record.line("the disruption is over");
    }

    private static void setRefused(Deployment deployment, boolean value) {
        for (int host = 0; host < deployment.hostCount(); host++) {
            deployment.store().refuse(host, value);
        }
    }

    private static String id(int job) {
        return String.format("5c0e7a21d94b%04x", job);
    }

    private static void submit(Deployment deployment, String id, String body, int host) {
        try {
            deployment.submit(id, body, host, 10_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void waitForStarts(Deployment deployment, int count, Record record) throws InterruptedException {
        long until = record.now() + 4_000;
        while (deployment.ledger().count("start") < count && record.now() < until) {
            Thread.sleep(20);
        }
        record.line("%d of %d tasks are started, on %s workers", deployment.ledger().count("start"), count,
                deployment.workers().stream().filter(worker -> worker.runCount() > 0).count());
    }
}
