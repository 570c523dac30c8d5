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

/** Runs the program's main class with given arguments in a child process. */
final class ChildProcess implements AutoCloseable {

    private final Process process;

    private final BufferedReader output;

    private ChildProcess(Process process) {
        this.process = process;
        this.output = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    static ChildProcess start(Path logFile, String... arguments) {
        List<String> command = new ArrayList<>();
        // The runtime takes no handler for a signal that its parent ignores, as under nohup.
        command.addAll(List.of("env", "--default-signal=HUP"));
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-Xmx64m", "-cp", System.getProperty("java.class.path")));
        command.add(Main.class.getName());
        command.addAll(List.of(arguments));
        try {
            return new ChildProcess(new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                    .start());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits for the next line of output and returns the address in it that follows {@code name=}. */
    HostPort readAddress(String name) {
        return parseAddress(readLine(), name);
    }

    static HostPort parseAddress(String line, String name) {
        for (String word : line.split(" ")) {
            if (word.startsWith(name + "=")) {
                return HostPort.parse(word.substring(name.length() + 1));
            }
        }
        throw new IllegalStateException("no " + name + "= in the line: " + line);
    }

    String readLine() {
        try {
            String line = output.readLine();
            if (line == null) {
                throw new IllegalStateException("child process closed its output before it printed the expected line");
            }
            return line;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    int awaitExit() throws InterruptedException {
        if (!process.waitFor(60, TimeUnit.SECONDS)) {
            throw new IllegalStateException("child process did not exit within 60 s");
        }
        return process.exitValue();
    }

    void terminate() {
        process.destroy();
    }

    void kill() {
        process.destroyForcibly();
    }

    void sendSignal(String name) {
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
