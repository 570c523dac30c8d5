package org.flamingopitch.standins.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpCall;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRoutes;
import org.flamingopitch.transport.http.HttpServer;

/** Serves a list of hosts and their stateByHost over HTTP; a PUT request adds a host or changes its state. */
public final class HostListServer implements Service {

    private final Map<String, String> stateByHost = new TreeMap<>();

    private final HttpServer http;

    /**
     * Creates the server with an empty list.
     *
     * @param address the address to listen on
     */
    public HostListServer(HostPort address) {
        HttpRoutes routes = new HttpRoutes().on("GET", "/v1/hosts", this::list).on("PUT", "/v1/hosts", this::setState);
        this.http = new HttpServer("host-list-stand-in", address, routes, 1);
    }

    @Override
    public String name() {
        return "host-list-stand-in";
    }

    @Override
    public void start() {
        http.start();
    }

    @Override
    public void stop() {
        http.stop();
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address with the actual port
     */
    public HostPort address() {
        return http.boundAddress();
    }

    private synchronized void list(HttpCall call) {
        List<HostView> hosts = new ArrayList<>();
        stateByHost.forEach((host, state) -> hosts.add(new HostView(host, state)));
        call.answer(HttpReply.json(HttpReply.OK, new HostsView(hosts)));
    }

    private synchronized void setState(HttpCall call) {
        String state = call.requiredParameter("state");
        if (!state.equals("live") && !state.equals("leaving")) {
            throw new IllegalArgumentException("state must be live or leaving: " + state);
        }
        stateByHost.put(call.requiredParameter("host"), state);
        list(call);
    }

    private record HostView(String host, String state) {}

    private record HostsView(List<HostView> hosts) {}
}
