package org.flamingopitch.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A caller: hands in jobs, asks for their states and cancels some, over one open connection at a time. */
final class Caller {

    private static final int DEADLINE_MILLIS = 3_000;

    private static final int RETRY_MILLIS = 300;

    private final Deployment deployment;

    private final Ledger ledger;

    private final Timeline timeline;

    private final SplittableRandom random;

    private final List<JobPlan> own = new ArrayList<>();

    private CallerConnection connection;

    private int host;

    private volatile boolean stopping;

    Caller(Deployment deployment, Ledger ledger, Timeline timeline, SplittableRandom random) {
        this.deployment = deployment;
        this.ledger = ledger;
        this.timeline = timeline;
        this.random = random;
    }

    /** Calls until {@link #stop}; a submission that is under way then is repeated until it is answered. */
    void run() throws InterruptedException, IOException {
        while (!stopping) {
            int action = random.nextInt(20);
            if (action < 9 || own.isEmpty()) {
                submit(JobPlan.draw(random));
            } else if (action < 17) {
                askState(own.get(random.nextInt(own.size())).id());
            } else if (action < 19) {
                cancel(own.get(own.size() - 1).id());
            } else {
                askState(JobId.next(random));
            }
            timeline.pause(random.nextInt(100, 500));
        }
    }

    void stop() {
        stopping = true;
    }

    void close() throws IOException {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void submit(JobPlan plan) throws InterruptedException, IOException {
        ledger.submitted(plan);
        boolean allRejected = true;
        while (true) {
            CallerConnection.Response response =
                    call("POST", Deployment.PREFIX + plan.id().text(), plan.body());
            int status = response.status();
            ledger.submissionAnswered(plan.id(), host, status);
            if (status / 100 == 2) {
                own.add(plan);
                return;
            }
            allRejected &= status == 429 || status == 503;
            if (allRejected && random.nextInt(3) == 0) {
                return;
            }
            timeline.pause(RETRY_MILLIS);
        }
    }

    private void cancel(JobId job) throws InterruptedException, IOException {
        ledger.cancelSent(job);
        int status = call("DELETE", Deployment.PREFIX + job.text(), "").status();
        ledger.cancelAnswered(job, host, status);
    }

    /** Cancels a job until the cancel is acknowledged or the time is over, and returns whether it is. */
    boolean cancelUntil(JobId job, long until) throws InterruptedException, IOException {
        ledger.cancelSent(job);
        while (timeline.millis() < until) {
            int status = call("DELETE", Deployment.PREFIX + job.text(), "").status();
            ledger.cancelAnswered(job, host, status);
            if (status / 100 == 2 || status == 410) {
                return true;
            }
            timeline.pause(RETRY_MILLIS);
        }
        return false;
    }

    /** Returns the state of a job that a host has shown, or an empty string. */
    String askState(JobId job) throws InterruptedException, IOException {
        long sentAt = timeline.millis();
        CallerConnection.Response response = call("GET", Deployment.PREFIX + job.text(), "");
        JsonNode body = response.status() == 200 ? Json.read(response.body()) : Json.object();
        String state = body.path("state").asText();
        ledger.shown(job, host, response.status(), state, sentAt);
        return state;
    }

    /** Sends a call at the open connection, or at a new one to another host; status 0 means that it has no answer. */
    private CallerConnection.Response call(String method, String path, String body)
            throws InterruptedException, IOException {
        try {
            if (connection == null) {
                host = random.nextInt(Deployment.HOSTS);
                connection = new CallerConnection(deployment.host(host).front(), DEADLINE_MILLIS);
            }
            CallerConnection.Response response = connection.call(method, path, body);
            if (!connection.usable()) {
                close();
            }
            return response;
        } catch (IOException e) {
            close();
            timeline.pause(RETRY_MILLIS);
            return new CallerConnection.Response(0, new byte[0]);
        }
    }
}
