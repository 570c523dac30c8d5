package org.flamingopitch.scheduler.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The hosts of a drawn session, and which of them are down. */
final class DrawnHosts {

    private final CellSession session;

    private final Set<String> down = new HashSet<>();

    private final Set<String> lostForGood = new HashSet<>();

    DrawnHosts(CellSession session) {
        this.session = session;
    }

    boolean up(String host) {
        return !down.contains(host);
    }

    void kill(List<String> hosts) {
        for (String host : hosts) {
            if (up(host)) {
                session.killHost(host);
                down.add(host);
            }
        }
    }

    void addIfMissing(String host) {
        if (!up(host) && !lostForGood.contains(host)) {
            down.remove(host);
            session.addHost(host);
        }
    }

    /** Kills a host that never comes back. */
    void loseForGood(String host) {
        lostForGood.add(host);
        kill(List.of(host));
    }
}
