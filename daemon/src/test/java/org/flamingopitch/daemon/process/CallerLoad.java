package org.flamingopitch.daemon.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.flamingopitch.daemon.process.TestDeployment.EntryProcess;
import org.flamingopitch.transport.http.HttpOutcome;

/**
 * Sends price checks and booking holds from several callers at once and records the answers. Each caller sends one
 * request after another, and every request has its own body, by which it is found in the workers' logs.
 */
final class CallerLoad {

    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(60);

    private static final int MAX_REQUESTS_PER_CALLER = 5_000;

    private final TestDeployment deployment;

    private final List<Thread> threads = new ArrayList<>();

    private final List<RecordedAnswer> answers = new ArrayList<>();

    private final AtomicInteger requestCount = new AtomicInteger();

    private final AtomicLong consecutivePriceAnswers = new AtomicLong();

    private volatile boolean running = true;

    CallerLoad(TestDeployment deployment, int callers) {
        this.deployment = deployment;
        for (int i = 0; i < callers; i++) {
            EntryProcess entry = deployment.entries().get(i);
            threads.add(new Thread(() -> sendRequests(entry), "caller-" + i));
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
        Awaitility.await().atMost(WAIT_TIMEOUT).until(() -> answers().size() >= count);
    }

    void awaitMoreAnswers(int count) {
        awaitAnswers(answers().size() + count);
    }

    /** Returns the number of price checks that succeeded since the last one that failed. */
    long consecutivePriceAnswers() {
        return consecutivePriceAnswers.get();
    }

    List<RecordedAnswer> answers() {
        synchronized (answers) {
            return List.copyOf(answers);
        }
    }

    private void sendRequests(EntryProcess entry) {
        for (int i = 0; running && i < MAX_REQUESTS_PER_CALLER; i++) {
            int number = requestCount.incrementAndGet();
            String kind = number % 2 == 0 ? "price-check" : "booking-hold";
            String body = "{\"number\":" + number + ",\"workMillis\":5}";
            String path = "/v1/run/" + kind + "?key=load-" + number;
            HttpOutcome outcome = TestDeployment.send(entry.callerAddress(), "POST", path, body);
            boolean done = TestDeployment.succeeded(outcome);
            if (kind.equals("price-check")) {
                consecutivePriceAnswers.updateAndGet(previous -> done ? previous + 1 : 0);
            }
            boolean notRun = outcome instanceof HttpOutcome.NotSent
                    || TestDeployment.text(outcome).contains("\"not-run\"");
            synchronized (answers) {
                answers.add(new RecordedAnswer(kind, body, done, notRun, TestDeployment.text(outcome)));
            }
            if (outcome instanceof HttpOutcome.NotSent) {
                return;
            }
        }
    }

    /**
     * The answer to one request.
     *
     * @param kind the kind of work
     * @param body the body of the request
     * @param done whether the answer is a success
     * @param notRun whether the caller knows that the work was not run: the answer says so, or the request was not sent
     * @param text the text of the answer
     */
    record RecordedAnswer(String kind, String body, boolean done, boolean notRun, String text) {}
}
