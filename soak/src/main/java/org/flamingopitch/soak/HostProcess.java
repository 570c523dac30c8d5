package org.flamingopitch.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A host of the system with its process, started with the command of the deploy file. */
final class HostProcess {

    private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"([^\"]*)\"");

    private static final long END_SECONDS = 10;

    private final int number;

    private final Path root;

    private final InetSocketAddress front;

    private final InetSocketAddress ready;

    private final Path settings;

    private final Path output;

    private final EventLog log;

    private Process process;

    private boolean stopped;

    HostProcess(int number, String ip, Path root, Path directory, LoopbackProxy storeLink, EventLog log)
            throws IOException {
        this.number = number;
        this.root = root;
        this.front = new InetSocketAddress(ip, freePort(ip));
        this.ready = new InetSocketAddress(ip, freePort(ip));
        this.settings = directory.resolve("settings-" + number + ".json");
        this.output = directory.resolve("host-" + number + ".log");
        this.log = log;
        Files.writeString(settings, settings(ip, freePort(ip), storeLink.port()).toString());
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    private ObjectNode settings(String ip, int peerPort, int storePort) throws IOException {
        try (InputStream in = HostProcess.class.getResourceAsStream("settings.json")) {
            ObjectNode all = (ObjectNode) Json.read(in);
            all.put("nodeName", "front-" + Deployment.ZONE + "-" + (number + 1)).put("ip", ip);
            all.putObject("listenAddrs")
                    .put("front", ip + ":" + front.getPort())
                    .put("ready", ip + ":" + ready.getPort());
            all.putArray("internalPorts").add(peerPort).add(peerPort);
            ((ObjectNode) all.get("platform")).put("address", "127.0.0.1:" + storePort);
            return all;
        }
    }

    /** Starts the process unless it lives. */
    synchronized void start() throws IOException {
        if (stopped || alive()) {
            return;
        }
        Matcher run = COMMAND.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        List<String> command = new ArrayList<>();
        // The runtime takes no handler for a signal that its parent ignores, as under nohup.
        command.addAll(List.of("env", "--default-signal=HUP"));
        command.addAll(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("FLAMINGOPITCH_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
        log.line("host %d: started, process %d", number, process.pid());
    }

    /** Kills the process for good and waits for its end. */
    synchronized void stop() throws InterruptedException {
        stopped = true;
        if (alive()) {
            process.destroyForcibly();
            process.waitFor(END_SECONDS, TimeUnit.SECONDS);
        }
    }

    synchronized void kill() throws InterruptedException {
        if (alive()) {
            process.destroyForcibly();
            process.waitFor(END_SECONDS, TimeUnit.SECONDS);
            log.line("host %d: killed", number);
        }
    }

    /** Sends a signal to the process if it lives. */
    synchronized void signal(String name) throws IOException, InterruptedException {
        if (alive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            log.line("host %d: signal %s", number, name);
        }
    }

    synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    InetSocketAddress front() {
        return front;
    }

    InetSocketAddress ready() {
        return ready;
    }
}
