import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command of the deploy file. */
final class Host {

    private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"([^\"]*)\"");

    final String ip;

    final int front;

    final int ready;

    /** The network between this process and the store. */
    final Link storeLink;

    private final Path root;

    private final Path settings;

    private final Path output;

    private final Record record;

    private Process process;

    Host(int number, String subnet, Path root, Path folder, int storePort, int cloudPort, Record record) throws IOException {
        this.root = root;
        this.record = record;
        ip = subnet + (11 + number);
        front = freePort(ip);
        ready = freePort(ip);
        int peer = freePort(ip);
        storeLink = new Link(new InetSocketAddress("127.0.0.1", storePort));
        settings = folder.resolve("settings-" + number + ".json");
        output = folder.resolve("host-" + number + ".log");
        ObjectNode all = (ObjectNode) Json.read(Files.readAllBytes(root.resolve("review/standins-3/settings.json")));
        all.put("nodeName", "front-kol-saltlake-" + (number + 1)).put("ip", ip);
        all.putObject("listenAddrs").put("front", ip + ":" + front).put("ready", ip + ":" + ready);
        all.putArray("internalPorts").add(peer).add(peer);
        ((ObjectNode) all.get("platform")).put("address", "127.0.0.1:" + storeLink.port());
        ((ObjectNode) all.get("cloudApi")).put("address", "127.0.0.1:" + cloudPort);
        Files.writeString(settings, all.toString());
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    synchronized void start() throws IOException {
        Matcher run = COMMAND.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" "))).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("FLAMINGOPITCH_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
        record.line("process %s: started", ip);
    }

    synchronized void kill() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            record.line("process %s: killed", ip);
        }
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    String output() throws IOException {
        return Files.exists(output) ? Files.readString(output) : "";
    }
}
