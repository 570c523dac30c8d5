package review;

import java.util.ArrayList;
import java.util.List;

/** The owner of the cell is killed while all hosts have narrow links to the store. */
final class NarrowLinks extends Case {

    private static final double LINK_MEGABITS = 7;

    private static final int JOBS = 280;

    private static final long GAP_MILLIS = 80;

    private static final int SPEC_BYTES = 2_000;

    private static final int LAST_JOBS = 12;

    private static final long SHORT_MILLIS = 300;

    private static final long LONG_MILLIS = 3_000;

    private static final long DOWN_MILLIS = 3_500;

    private static final long FINISH_MILLIS = 14_000;

    private static final long IDLE_MILLIS = 5_000;

    public static void main(String[] arguments) {
        run(new NarrowLinks(), arguments);
    }

    @Override
    List<String> play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 8, LINK_MEGABITS)) {
            List<String> accepted = new ArrayList<>();
            for (int job = 0; job < JOBS; job++) {
                String id = String.format("5c0e7a21d94b%04x", job);
                long work = job < JOBS - LAST_JOBS ? SHORT_MILLIS : LONG_MILLIS;
                if (deployment.send(job % deployment.hostCount(), "POST", id, body(work), false).status() == 200) {
                    accepted.add(id);
                }
                Thread.sleep(GAP_MILLIS);
            }
            record.line("%d of %d jobs are accepted", accepted.size(), JOBS);
            if (trouble) {
                int leader = deployment.store().lastConditionalWriter();
                record.line("disruption: host %d, which last wrote under a condition, is killed for %d ms", leader, DOWN_MILLIS);
                deployment.kill(leader, DOWN_MILLIS);
            }
            Thread.sleep(DOWN_MILLIS + FINISH_MILLIS);
            int startsBefore = deployment.ledger().count("start");
            long until = record.now() + IDLE_MILLIS;
            int running = 0;
            while (record.now() < until) {
                running = Math.max(running, deployment.workers().stream().mapToInt(Worker::runCount).sum());
                Thread.sleep(20);
            }
            boolean idle = running == 0 && deployment.ledger().count("start") == startsBefore;
            record.line("at most %d tasks ran at a time in the last 5 s, %d were started", running,
                    deployment.ledger().count("start") - startsBefore);
            List<String> broken = new ArrayList<>();
            for (String id : accepted.subList(accepted.size() - LAST_JOBS, accepted.size())) {
                Http.Answer answer = deployment.send(1, "GET", id, "");
                boolean done = answer.body().contains("done");
                boolean open = answer.body().contains("running") || answer.body().contains("queued");
                if (answer.status() != 200) {
                    broken.add("job " + id + " was accepted; asked for its state, the answer is " + answer.status());
                } else if (idle && open && !done) {
                    broken.add("job " + id + " was accepted, is " + answer.body() + " and has nothing running on idle workers");
                }
            }
            deployment.send(2, "POST", "5c0e7a21d94bffff", body(SHORT_MILLIS).replace("x", ""));
            return broken;
        }
    }

    private static String body(long work) {
        String spec = "x".repeat(SPEC_BYTES - 10) + " " + work;
        return "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":2,\"cpu\":1600,\"memMb\":3200,\"estimatedMs\":" + work
                + "}]}";
    }
}
