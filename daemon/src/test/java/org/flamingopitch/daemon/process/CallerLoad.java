package org.flamingopitch.daemon.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.flamingopitch.daemon.process.TestDeployment.EntryProcess;
import org.flamingopitch.transport.http.HttpOutcome;

/** Callers that send price checks and holds one after another, each with a body of its own, and note the answers. */
final class CallerLoad {

    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private static final int MAX_REQUESTS_PER_CALLER = 5_000;

    private final TestDeployment deployment;

    private final List<Thread> threads = new ArrayList<>();

    private final List<Told> told = new ArrayList<>();

    private final AtomicInteger number = new AtomicInteger();

    private final AtomicLong priceAnswers = new AtomicLong();

    private volatile boolean running = true;

    CallerLoad(TestDeployment deployment, int callers) {
        this.deployment = deployment;
        for (int i = 0; i < callers; i++) {
            EntryProcess entry = deployment.entries().get(i);
            threads.add(new Thread(() -> ask(entry), "caller-" + i));
        }
    }

    void start() {
        threads.forEach(Thread::start);
    }

    void stop() {
        running = false;
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    void awaitAnswers(int count) {
        Awaitility.await().atMost(PATIENCE).until(() -> told().size() >= count);
    }

    void awaitMoreAnswers(int count) {
        awaitAnswers(told().size() + count);
    }

    /** Returns how many of the latest price checks got their answers without a gap. */
    long priceAnswersInARow() {
        return priceAnswers.get();
    }

    List<Told> told() {
        synchronized (told) {
            return List.copyOf(told);
        }
    }

    private void ask(EntryProcess entry) {
        for (int i = 0; running && i < MAX_REQUESTS_PER_CALLER; i++) {
            int each = number.incrementAndGet();
            String kind = each % 2 == 0 ? "price-check" : "booking-hold";
            String body = "{\"number\":" + each + ",\"workMillis\":5}";
            String path = "/v1/run/" + kind + "?key=load-" + each;
            HttpOutcome outcome = TestDeployment.send(entry.callers(), "POST", path, body);
            boolean done = TestDeployment.succeeded(outcome);
            if (kind.equals("price-check")) {
                priceAnswers.updateAndGet(before -> done ? before + 1 : 0);
            }
            boolean notRun = outcome instanceof HttpOutcome.NotSent
                    || TestDeployment.text(outcome).contains("\"not-run\"");
            synchronized (told) {
                told.add(new Told(kind, body, done, notRun, TestDeployment.text(outcome)));
            }
            if (outcome instanceof HttpOutcome.NotSent) {
                return;
            }
        }
    }

    /**
     * What a caller was told.
     *
     * @param kind the kind of work
     * @param body the request
     * @param done whether it got the answer
     * @param notRun whether it was told that the work was not run
     * @param answer the answer's text
     */
    record Told(String kind, String body, boolean done, boolean notRun, String answer) {}
}
