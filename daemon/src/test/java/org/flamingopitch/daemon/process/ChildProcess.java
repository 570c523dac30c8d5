package org.flamingopitch.daemon.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.flamingopitch.daemon.cli.Main;
import org.flamingopitch.transport.http.HostPort;

/** A process of the product that a test started. */
final class ChildProcess implements AutoCloseable {

    private final Process process;

    private final BufferedReader output;

    private ChildProcess(Process process) {
        this.process = process;
        this.output = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    static ChildProcess start(Path log, String... words) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-Xmx64m", "-cp", System.getProperty("java.class.path")));
        command.add(Main.class.getName());
        command.addAll(List.of(words));
        try {
            return new ChildProcess(new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits for the next line and returns the address behind a name in it. */
    HostPort address(String name) {
        return addressIn(nextLine(), name);
    }

    static HostPort addressIn(String line, String name) {
        for (String word : line.split(" ")) {
            if (word.startsWith(name + "=")) {
                return HostPort.parse(word.substring(name.length() + 1));
            }
        }
        throw new IllegalStateException("no " + name + " in: " + line);
    }

    String nextLine() {
        try {
            String line = output.readLine();
            if (line == null) {
                throw new IllegalStateException("the process ended early");
            }
            return line;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    int awaitExit() throws InterruptedException {
        if (!process.waitFor(60, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the process did not end");
        }
        return process.exitValue();
    }

    void terminate() {
        process.destroy();
    }

    void kill() {
        process.destroyForcibly();
    }

    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
