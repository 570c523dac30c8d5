package org.flamingopitch.bench.cli;

import java.util.concurrent.locks.LockSupport;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.daemon.cli.HostClient;
import org.flamingopitch.daemon.demo.DemoPlatform;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpOutcome;

/** A running deployment of the demonstration, configured and ready. */
public final class DemoDeployment implements AutoCloseable {

    private static final int MAX_TRIES = 300;

    private static final long TRY_INTERVAL_NANOS = 50_000_000L;

    private final DemoPlatform platform;

    private DemoDeployment(DemoPlatform platform) {
        this.platform = platform;
    }

    /**
     * Starts a deployment and waits until it serves requests.
     *
     * @param workersPerCentre the number of workers in each of two data centres
     * @param hosts the number of entry hosts
     * @return the deployment
     * @throws InterruptedException if the thread is interrupted
     */
    public static DemoDeployment start(int workersPerCentre, int hosts) throws InterruptedException {
        DemoPlatform platform = new DemoPlatform(new SystemTimeSourceClock(), workersPerCentre, hosts);
        platform.start();
        DemoDeployment deployment = new DemoDeployment(platform);
        HostPort operators = platform.hosts().get(0).operatorAddress();
        send(operators, "PUT", "/v1/config?expected=0&who=bench", platform.configurationJson());
        for (EntryHost host : platform.hosts()) {
            awaitSuccess(host.callerAddress(), "/v1/run/price-check");
        }
        awaitSuccess(platform.hosts().get(0).callerAddress(), "/v1/run/booking-hold");
        return deployment;
    }

    /**
     * Returns the deployment.
     *
     * @return the stand-ins and entry hosts
     */
    public DemoPlatform platform() {
        return platform;
    }

    /**
     * Asks an entry host for its state.
     *
     * @param host the host
     * @return the state
     * @throws InterruptedException if the thread is interrupted
     */
    public NodeStatus status(EntryHost host) throws InterruptedException {
        return JsonCodec.json().decode(send(host.operatorAddress(), "GET", "/v1/status", ""), NodeStatus.class);
    }

    /**
     * Sends a request and returns the answer's text.
     *
     * @param address where to
     * @param method the method
     * @param path the path
     * @param body the body
     * @return the text, or a description of the failure
     * @throws InterruptedException if the thread is interrupted
     */
    public static String send(HostPort address, String method, String path, String body) throws InterruptedException {
        try (HostClient client = new HostClient(address)) {
            HttpOutcome outcome = client.send(method, path, body);
            return outcome instanceof HttpOutcome.Answered answer ? answer.text() : outcome.toString();
        }
    }

    @Override
    public void close() {
        platform.stop();
    }

    private static void awaitSuccess(HostPort address, String path) throws InterruptedException {
        for (int i = 0; i < MAX_TRIES; i++) {
            try (HostClient client = new HostClient(address)) {
                HttpOutcome outcome = client.send("POST", path, "{}");
                if (outcome instanceof HttpOutcome.Answered answer && answer.success()) {
                    return;
                }
            }
            LockSupport.parkNanos(TRY_INTERVAL_NANOS);
        }
        throw new IllegalStateException("no answer from " + address + path);
    }
}
