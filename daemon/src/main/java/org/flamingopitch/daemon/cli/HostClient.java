package org.flamingopitch.daemon.cli;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpOutcome;
import org.flamingopitch.transport.http.HttpRequest;

/** Synchronous HTTP client for the operator API or the caller API of one host. */
public final class HostClient implements AutoCloseable {

    private static final String HOST_OPTION = "host";

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient http = new HttpClient("operator-client", new SystemTimeSourceClock());

    private final HostPort address;

    /**
     * Creates a client and starts its connections.
     *
     * @param address the address of an operator API or caller API
     */
    public HostClient(HostPort address) {
        this.address = address;
        http.start();
    }

    static Option hostOption() {
        return Option.builder()
                .longOpt(HOST_OPTION)
                .hasArg()
                .argName("IP:PORT")
                .required()
                .desc("address of the operator API of an entry host")
                .get();
    }

    static HostClient fromHostOption(CommandLine line) {
        try {
            return new HostClient(HostPort.parse(line.getOptionValue(HOST_OPTION)));
        } catch (IllegalArgumentException e) {
            throw new UsageException("--" + HOST_OPTION + ": " + e.getMessage());
        }
    }

    /**
     * Sends a request and waits for its outcome.
     *
     * @param method the HTTP method
     * @param path the path with the query string
     * @param body the body, or an empty string for none
     * @return the outcome
     * @throws InterruptedException if the thread is interrupted
     */
    public HttpOutcome send(String method, String path, String body) throws InterruptedException {
        CompletableFuture<HttpOutcome> answer = new CompletableFuture<>();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        http.send(address, 1, new HttpRequest(method, path, bytes, REQUEST_TIMEOUT, Instant.MAX), answer::complete);
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Prints the answer on standard output, or the error on standard error.
     *
     * @param outcome the outcome of a request
     * @return the exit code
     */
    public static ExitCode printOutcome(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answer)) {
            System.err.println("flamingopitch: no answer: " + outcome);
            return ExitCode.NO_ANSWER;
        }
        if (!answer.success()) {
            System.err.println("flamingopitch: refused with status " + answer.status() + ": " + answer.text());
            return ExitCode.REFUSED;
        }
        System.out.println(answer.text());
        return ExitCode.OK;
    }

    @Override
    public void close() {
        http.stop();
    }
}
