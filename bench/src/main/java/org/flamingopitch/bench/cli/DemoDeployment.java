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

/** A demonstration deployment in this process that has a configuration and serves requests. */
public final class DemoDeployment implements AutoCloseable {

    private static final int MAX_ATTEMPTS = 300;

    private static final long RETRY_INTERVAL_NANOS = 50_000_000L;

    private final DemoPlatform platform;

    private DemoDeployment(DemoPlatform platform) {
        this.platform = platform;
    }

    /**
     * Starts a deployment and waits until it serves requests.
     *
     * @param workersPerDataCentre the number of workers in each of two data centres
     * @param hosts the number of entry hosts
     * @return the deployment
     * @throws InterruptedException if the thread is interrupted
     */
    public static DemoDeployment start(int workersPerDataCentre, int hosts) throws InterruptedException {
        DemoPlatform platform = new DemoPlatform(new SystemTimeSourceClock(), workersPerDataCentre, hosts);
        platform.start();
        DemoDeployment deployment = new DemoDeployment(platform);
        HostPort operatorAddress = platform.hosts().get(0).operatorAddress();
        send(operatorAddress, "PUT", "/v1/config?expected=0&who=bench", platform.configurationJson());
        for (EntryHost host : platform.hosts()) {
            awaitSuccess(host.callerAddress(), "/v1/run/price-check");
        }
        awaitSuccess(platform.hosts().get(0).callerAddress(), "/v1/run/booking-hold");
        return deployment;
    }

    /**
     * Returns the stand-ins and entry hosts of the deployment.
     *
     * @return the platform
     */
    public DemoPlatform platform() {
        return platform;
    }

    /**
     * Requests the status of an entry host.
     *
     * @param host the entry host
     * @return the status
     * @throws InterruptedException if the thread is interrupted
     */
    public NodeStatus fetchStatus(EntryHost host) throws InterruptedException {
        return JsonCodec.json().decode(send(host.operatorAddress(), "GET", "/v1/status", ""), NodeStatus.class);
    }

    /**
     * Sends an HTTP request and returns the body of the answer.
     *
     * @param address the address to send to
     * @param method the HTTP method
     * @param path the path and query
     * @param body the request body
     * @return the body of the answer, or a description of the failure if there was no answer
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
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try (HostClient client = new HostClient(address)) {
                HttpOutcome outcome = client.send("POST", path, "{}");
                if (outcome instanceof HttpOutcome.Answered answer && answer.success()) {
                    return;
                }
            }
            LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
        }
        throw new IllegalStateException(
                "no successful answer within " + MAX_ATTEMPTS + " attempts from " + address + path);
    }
}
