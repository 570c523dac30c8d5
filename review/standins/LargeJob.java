package review;

import java.util.ArrayList;
import java.util.List;

/** A large job comes among small ones; all are accepted. */
final class LargeJob extends Case {

    private static final String LARGE = "ab0e7a21d94b36f8";

    private static final int LARGE_COUNT = 9_998;

    private static final int NORMAL_COUNT = 200;

    private static final long STUCK_MILLIS = 3_000;

    public static void main(String[] arguments) {
        run(new LargeJob(), arguments);
    }

    @Override
    List<String> play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 8)) {
            int count = trouble ? LARGE_COUNT : NORMAL_COUNT;
            String large = "{\"spec\":\"work 1000\",\"steps\":["
                    + "{\"count\":1,\"cpu\":10,\"memMb\":1,\"estimatedMs\":1000},"
                    + "{\"count\":" + count + ",\"cpu\":10,\"memMb\":1,\"estimatedMs\":1000,\"after\":[0]}]}";
            String small = "{\"spec\":\"work 1000\",\"steps\":[{\"count\":2,\"cpu\":1600,\"memMb\":3200,\"estimatedMs\":1000},"
                    + "{\"count\":2,\"cpu\":1600,\"memMb\":3200,\"estimatedMs\":1000,\"after\":[0]}]}";
            List<String> accepted = new ArrayList<>();
            int serial = 0;
            for (int i = 0; i < 30; i++) {
                if (i == 5) {
                    record.line("a job with %d tasks comes", count + 1);
                    if (deployment.send(0, "POST", LARGE, large).status() == 200) {
                        accepted.add(LARGE);
                    }
                }
                String id = String.format("5c0e7a21d94b%04x", serial++);
                if (deployment.send(i % deployment.hostCount(), "POST", id, small).status() == 200) {
                    accepted.add(id);
                }
                Thread.sleep(150);
            }
            record.line("accepted %d jobs; the traffic ends", accepted.size());
            // finish_s after the end of the traffic.
            Thread.sleep(14_000);
            List<String> broken = new ArrayList<>();
            List<String> open = new ArrayList<>();
            for (String id : accepted) {
                Http.Answer answer = deployment.send(0, "GET", id, "");
                if (!answer.body().contains("done")) {
                    open.add(id);
                }
            }
            int startsBefore = deployment.ledger().count("start");
            Thread.sleep(STUCK_MILLIS + 2_000);
            int running = deployment.workers().stream().mapToInt(Worker::runCount).sum();
            int startsAfter = deployment.ledger().count("start");
            record.line("%d accepted jobs are open; %d tasks run on all workers; %d tasks were started in the last 5 s",
                    open.size(), running, startsAfter - startsBefore);
            record.line("the store has refused %d transactions", deployment.store().refusedValues());
            if (running == 0 && startsAfter == startsBefore) {
                for (String id : open) {
                    Http.Answer answer = deployment.send(1, "GET", id, "");
                    broken.add("job " + id + " was accepted, has nothing running for 5 s on idle workers; state "
                            + answer.status() + " " + answer.body());
                }
            }
            Http.Answer late = deployment.send(1, "POST", "5c0e7a21d94bffff", small);
            record.line("a new job is answered %d", late.status());
            return broken;
        }
    }
}
